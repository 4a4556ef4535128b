//! Policies that choose a worker for a request, registered by themselves.
