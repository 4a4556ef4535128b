//! Faults that tests switch on at run time, and the log of received requests.
