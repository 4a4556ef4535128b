//! The operators' interface: runs commands and gathers answers from all hosts.
