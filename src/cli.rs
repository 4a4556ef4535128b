//! The operators' command line: arguments, the call to a host, and its output.
