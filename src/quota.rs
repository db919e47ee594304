//! Hard limits of rows, split over hosts so that a partition cannot exceed them.
