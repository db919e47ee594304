//! A weighted fair queue by token cost.
