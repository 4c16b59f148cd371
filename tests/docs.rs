//! Guards against pages that no longer match the programs.

use std::{fmt::Write as _, fs};

use serde_json::Value;
use waxwinglatch::{
    clap_app,
    code::ResultCode,
    dev::DevSettings,
    operator::{OperatorConfig, OperatorExit},
};

/// Compares the table between two markers, or rewrites it when `UPDATE_DOCS` is set.
fn compare(path: &str, name: &str, table: &str) {
    let page = fs::read_to_string(path).expect("the page is readable");
    let [begin, end] = ["begin", "end"].map(|word| format!("<!-- {word} {name} -->\n"));
    let (before, rest) = page
        .split_once(&begin)
        .expect("the page has the begin marker");
    let (_, after) = rest.split_once(&end).expect("the page has the end marker");
    let expected = format!("{before}{begin}{table}{end}{after}");
    if std::env::var_os("UPDATE_DOCS").is_some() {
        fs::write(path, &expected).expect("the page is writable");
    } else {
        assert!(
            page == expected,
            "{path} is out of date; run with UPDATE_DOCS=1"
        );
    }
}

#[test]
fn the_table_of_result_codes_is_complete() {
    let mut table =
        "| code | name | HTTP status | meaning |\n| --- | --- | --- | --- |\n".to_owned();
    for code in ResultCode::ALL {
        let (number, name, status) = (code.number(), code.name(), code.status());
        let _ = writeln!(
            table,
            "| {number} | `{name}` | {status} |{} |",
            code.meaning()
        );
    }
    compare("docs/result-codes.md", "result codes", &table);
}

#[test]
fn result_codes_are_distinct() {
    let count = |mut values: Vec<String>| {
        values.sort_unstable();
        values.dedup();
        values.len()
    };
    let all = || ResultCode::ALL.iter();
    assert_eq!(
        count(all().map(|code| code.number().to_string()).collect()),
        all().count()
    );
    assert_eq!(
        count(all().map(|code| code.name().to_owned()).collect()),
        all().count()
    );
}

#[test]
fn the_table_of_exit_codes_is_complete() {
    let mut table = "| exit code | meaning |\n| --- | --- |\n".to_owned();
    for exit in OperatorExit::ALL {
        let _ = writeln!(table, "| {} | {} |", exit.number(), exit.meaning());
    }
    compare("docs/operators.md", "exit codes", &table);
}

#[test]
fn the_guide_names_all_commands_and_settings() {
    let guide = fs::read_to_string("docs/operators.md").expect("the guide is readable");
    for command in clap_app::operator_app().get_subcommands() {
        let name = format!("waxwing {}", command.get_name());
        assert!(guide.contains(&name), "{name} is missing");
    }
    let folder = std::env::temp_dir();
    let dev = DevSettings::new(1, 2, folder).expect("loopback ports are free");
    let settings = [
        serde_json::to_value(dev.control()),
        serde_json::to_value(dev.entry()),
        serde_json::to_value(OperatorConfig::default()),
    ];
    for settings in settings {
        let Ok(Value::Object(fields)) = settings else {
            panic!("settings are objects")
        };
        for name in fields.keys() {
            assert!(guide.contains(&format!("`{name}`")), "{name} is missing");
        }
    }
}
