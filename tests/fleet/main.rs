//! Guards the operator's configuration: what is refused, and differences that lose something.

mod delta;
