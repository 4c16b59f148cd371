use std::{collections::HashMap, fmt};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::NamedConfig;
use crate::border::FleetConfig;

/// What happened to one part of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The part is new.
    Added,
    /// The part is gone.
    Removed,
    /// Fields of the part changed.
    Changed,
    /// The parts of the list are in another order.
    Reordered,
}

/// One difference between two configurations, for operators to read.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetChange {
    /// What happened.
    pub kind: ChangeKind,
    /// List that the part belongs to, such as `teams`.
    pub list: String,
    /// Id of the part; empty for the weight store and for a new order.
    pub id: String,
    /// Fields that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<FieldChange>,
}

/// Change of one field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: String,
    /// Value before; `null` when there was none.
    pub from: Value,
    /// Value after; `null` when there is none.
    pub to: Value,
}

impl fmt::Display for FleetChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let sign = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed | ChangeKind::Reordered => '~',
        };
        write!(f, "{sign} {} {}", self.list, self.id)?;
        if self.kind == ChangeKind::Reordered {
            f.write_str("in another order")?;
        }
        for change in &self.fields {
            write!(
                f,
                "\n    {}: {} -> {}",
                change.field, change.from, change.to
            )?;
        }
        Ok(())
    }
}

/// Returns the differences that lead from `old` to `new`; without `old`, everything is added.
#[must_use]
pub fn changes_between(old: Option<&FleetConfig>, new: &FleetConfig) -> Vec<FleetChange> {
    macro_rules! lists {
        ($($list:ident),*) => {{
            let mut changes = Vec::new();
            $(list_changes(
                stringify!($list),
                old.map_or(&[][..], |old| old.$list.as_slice()),
                &new.$list,
                &mut changes,
            );)*
            changes
        }};
    }
    let mut changes = lists!(teams, keys, routes, models, adapters, targets);
    let fields = field_changes(old.map(|old| &old.weight_store), Some(&new.weight_store));
    if !fields.is_empty() {
        changes.push(FleetChange {
            kind: ChangeKind::Changed,
            list: "weight_store".to_owned(),
            id: String::new(),
            fields,
        });
    }
    changes
}

fn list_changes<T: NamedConfig + Serialize + PartialEq>(
    list: &str,
    old: &[T],
    new: &[T],
    changes: &mut Vec<FleetChange>,
) {
    let before: HashMap<_, &T> = old.iter().map(|part| (part.id(), part)).collect();
    let after: HashMap<_, &T> = new.iter().map(|part| (part.id(), part)).collect();
    let mut add = |kind: ChangeKind, id: &str, fields: Vec<FieldChange>| {
        changes.push(FleetChange {
            kind,
            list: list.to_owned(),
            id: id.to_owned(),
            fields,
        });
    };
    for part in old {
        if !after.contains_key(part.id()) {
            add(ChangeKind::Removed, part.id(), Vec::new());
        }
    }
    for part in new {
        match before.get(part.id()) {
            None => add(ChangeKind::Added, part.id(), Vec::new()),
            Some(earlier) if *earlier != part => {
                add(
                    ChangeKind::Changed,
                    part.id(),
                    field_changes(Some(*earlier), Some(part)),
                );
            }
            Some(_) => {}
        }
    }
    let kept = old
        .iter()
        .map(NamedConfig::id)
        .filter(|id| after.contains_key(id));
    let still = new
        .iter()
        .map(NamedConfig::id)
        .filter(|id| before.contains_key(id));
    if !kept.eq(still) {
        add(ChangeKind::Reordered, "", Vec::new());
    }
}

fn field_changes<T: Serialize>(old: Option<&T>, new: Option<&T>) -> Vec<FieldChange> {
    let fields = |part: Option<&T>| -> Map<String, Value> {
        let value = part.and_then(|part| serde_json::to_value(part).ok());
        value
            .and_then(|value| value.as_object().cloned())
            .unwrap_or_default()
    };
    let (old, new) = (fields(old), fields(new));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort_unstable();
    names.dedup();
    let value = |map: &Map<String, Value>, name: &str| map.get(name).cloned().unwrap_or_default();
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| FieldChange {
            field: name.clone(),
            from: value(&old, name),
            to: value(&new, name),
        })
        .collect()
}
