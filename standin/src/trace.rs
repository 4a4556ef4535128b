//! Request traces shaped like the two deployments, made from a seed.
