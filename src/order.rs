//! Orders to engines, and how reports are reconciled with them.
