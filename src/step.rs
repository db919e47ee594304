//! Steps of trainers: slots, attempts, and delivery to the trainer exactly once.
