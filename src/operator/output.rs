use std::fmt::Write as _;

use clap::{ValueEnum, builder::PossibleValue};

/// Output format of the command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable tables and messages.
    Table,
    /// A single JSON document.
    Json,
}

impl ValueEnum for OutputFormat {
    fn value_variants<'a>() -> &'a [Self] {
        &[Self::Table, Self::Json]
    }

    fn to_possible_value(&self) -> Option<PossibleValue> {
        Some(PossibleValue::new(match self {
            Self::Table => "table",
            Self::Json => "json",
        }))
    }
}

/// Formats rows as left-aligned columns, each as wide as its longest cell.
#[must_use]
pub fn table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().map(|row| row[column].chars().count());
        cells.chain([header[column].len()]).max().unwrap_or(0)
    };
    let widths: [usize; N] = std::array::from_fn(width);
    let mut text = String::new();
    let header = header.map(str::to_owned);
    for row in std::iter::once(&header).chain(rows) {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(widths) {
            let _ = write!(line, "{cell:<width$}  ");
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}
