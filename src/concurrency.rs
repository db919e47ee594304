//! Adaptive bounds on concurrent work and bounded queues before them.
