//! A model of an engine: continuous batching, arrival order and a bounded prefix cache.
