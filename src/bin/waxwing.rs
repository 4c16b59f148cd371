//! Operator command line.

fn main() {}
