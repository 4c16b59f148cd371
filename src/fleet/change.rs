use std::{collections::HashMap, fmt};

use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};

use super::NamedConfig;
use crate::border::FleetConfig;

/// Kind of change to an item of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The item was added.
    Added,
    /// The item was removed.
    Removed,
    /// Fields of the item changed.
    Changed,
    /// The items of the list are in a different order.
    Reordered,
}

/// One change between two configurations, as shown to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FleetChange {
    /// Kind of the change.
    pub kind: ChangeKind,
    /// List that contains the item, such as `teams`.
    pub list: String,
    /// Id of the item; empty for the weight store and for a reordered list.
    pub id: String,
    /// Fields that changed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub fields: Vec<FieldChange>,
}

/// Change of one field.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FieldChange {
    /// Field name.
    pub field: String,
    /// Old value; `null` when the field was absent.
    pub from: Value,
    /// New value; `null` when the field is absent.
    pub to: Value,
}

impl fmt::Display for FleetChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let marker = match self.kind {
            ChangeKind::Added => '+',
            ChangeKind::Removed => '-',
            ChangeKind::Changed | ChangeKind::Reordered => '~',
        };
        write!(f, "{marker} {} {}", self.list, self.id)?;
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

/// Returns the changes from `old` to `new`; without `old`, every item counts as added.
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
    let old_items: HashMap<_, &T> = old.iter().map(|item| (item.id(), item)).collect();
    let new_items: HashMap<_, &T> = new.iter().map(|item| (item.id(), item)).collect();
    let mut add_change = |kind: ChangeKind, id: &str, fields: Vec<FieldChange>| {
        changes.push(FleetChange {
            kind,
            list: list.to_owned(),
            id: id.to_owned(),
            fields,
        });
    };
    for item in old {
        if !new_items.contains_key(item.id()) {
            add_change(ChangeKind::Removed, item.id(), Vec::new());
        }
    }
    for item in new {
        match old_items.get(item.id()) {
            None => add_change(ChangeKind::Added, item.id(), Vec::new()),
            Some(old_item) if *old_item != item => {
                add_change(
                    ChangeKind::Changed,
                    item.id(),
                    field_changes(Some(*old_item), Some(item)),
                );
            }
            Some(_) => {}
        }
    }
    let old_order = old
        .iter()
        .map(NamedConfig::id)
        .filter(|id| new_items.contains_key(id));
    let new_order = new
        .iter()
        .map(NamedConfig::id)
        .filter(|id| old_items.contains_key(id));
    if !old_order.eq(new_order) {
        add_change(ChangeKind::Reordered, "", Vec::new());
    }
}

fn field_changes<T: Serialize>(old: Option<&T>, new: Option<&T>) -> Vec<FieldChange> {
    let fields = |item: Option<&T>| -> Map<String, Value> {
        let value = item.and_then(|item| serde_json::to_value(item).ok());
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
