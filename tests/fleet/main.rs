//! Tests for the operator's configuration: validation, and the completeness of differences.

mod change;
mod check;
mod delta;
