//! Guards the operator's configuration: what is refused, and differences that lose something.

mod change;
mod check;
mod delta;
