//! Waves of weight updates under a capacity floor and the weight store's rate.
