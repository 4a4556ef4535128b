//! Links between hosts: authentication, queues and reconnection.
