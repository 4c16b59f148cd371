//! Cases of the review that are played with real processes: `kit CASE RECORD`.
//!
//! It ends with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment it does the same without the disruption.

mod dropped_model;
mod engine;
mod fleet;
mod http;
mod lost_quorum;
mod odd_entry;
mod record;
mod refused_in_force;
mod zero_weights;

use std::{path::PathBuf, process::ExitCode};

use record::Record;

/// What a case found.
pub enum Finding {
    Held,
    Broken,
    NotRun(String),
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, path] = arguments.as_slice() else {
        eprintln!("usage: kit CASE RECORD");
        return ExitCode::from(2);
    };
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match Record::create(&PathBuf::from(path)) {
        Ok(record) => record,
        Err(error) => {
            eprintln!("{path}: {error}");
            return ExitCode::from(2);
        }
    };
    record.say(&format!("case {case}, disruption: {has_trouble}"));
    let finding = match case.as_str() {
        "dropped-model" => dropped_model::run(&record, has_trouble),
        "lost-quorum" => lost_quorum::run(&record, has_trouble),
        "odd-bytes" => odd_entry::run(&record, has_trouble, odd_entry::Oddity::Bytes),
        "missing-fields" => odd_entry::run(&record, has_trouble, odd_entry::Oddity::Fields),
        "zero-weights" => zero_weights::run(&record, has_trouble),
        "refused-in-force" => refused_in_force::run(&record, has_trouble),
        other => Ok(Finding::NotRun(format!("unknown case {other}"))),
    };
    match finding {
        Ok(Finding::Held) => {
            record.say("the rule held");
            ExitCode::SUCCESS
        }
        Ok(Finding::Broken) => {
            record.say("the rule was BROKEN");
            ExitCode::from(1)
        }
        Ok(Finding::NotRun(reason)) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
        Err(error) => {
            record.say(&format!("the case could not run: {error}"));
            ExitCode::from(2)
        }
    }
}
