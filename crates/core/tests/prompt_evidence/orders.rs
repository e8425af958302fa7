//! Orders.
