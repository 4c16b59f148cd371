//! Guards against border types that no longer match the committed JSON Schema.

use std::fs;

use typify::{TypeSpace, TypeSpaceImpl, TypeSpaceSettings};

const SCHEMA_PATH: &str = "schema/fleet.schema.json";
const BORDER_PATH: &str = "src/border.rs";
const HEADER: &str = "//! Types of the operator's configuration, generated from `schema/fleet.schema.json`.\n\
//!\n\
//! Regenerate them with `UPDATE_BORDER=1 cargo test --test border`; see docs/operators.md.\n\
#![allow(missing_docs, clippy::pedantic, clippy::all)]\n\n";

fn generate() -> String {
    let text = fs::read_to_string(SCHEMA_PATH).expect("schema is readable");
    let schema: schemars::schema::RootSchema = serde_json::from_str(&text).expect("schema parses");
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_derive("PartialEq".to_owned())
        .with_replacement(
            "Identifier",
            "::compact_str::CompactString",
            [TypeSpaceImpl::Display, TypeSpaceImpl::FromStr].into_iter(),
        );
    let mut space = TypeSpace::new(&settings);
    space
        .add_root_schema(schema)
        .expect("schema converts to types");
    let file = syn::parse2::<syn::File>(space.to_stream()).expect("generated code parses");
    format!("{HEADER}{}", prettyplease::unparse(&file))
}

#[test]
fn border_types_match_the_schema() {
    let generated = generate();
    if std::env::var_os("UPDATE_BORDER").is_some() {
        fs::write(BORDER_PATH, &generated).expect("border file is writable");
    }
    let committed = fs::read_to_string(BORDER_PATH).unwrap_or_default();
    assert!(
        committed == generated,
        "{BORDER_PATH} is out of date; run with UPDATE_BORDER=1"
    );
}
