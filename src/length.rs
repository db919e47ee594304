//! Prediction of how long a sample will become, from what its row did before.
