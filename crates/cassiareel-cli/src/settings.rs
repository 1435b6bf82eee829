//! Commands on the tree of settings.

use std::{fs, time::Duration};

use cassiareel::{
    kernel::Revision,
    settings::{
        self, diff, read_revision, units::DurationText, Applied, Draft, Edit, LoadedRevision, Path,
        Scope, Tree,
    },
    store::Objects,
};
use serde_json::{json, Value};

use crate::{
    context::now_ms,
    error::format_changes,
    report::{heading, table},
    Code, Error, Report,
};

/// Reads a tree of settings from a file.
pub(crate) fn read_draft(file: &str) -> Result<Draft, Error> {
    let text = fs::read_to_string(file).map_err(|err| {
        Error::new(
            Code::Refused,
            format!("{file} can't be read: {err}"),
            "name a file that `cassiareel settings get FILE` wrote",
        )
    })?;
    Ok(Draft::parse(&text)?)
}

/// Loads the accepted revision from the object API.
pub(crate) async fn load_accepted(objects: &dyn Objects) -> Result<LoadedRevision, Error> {
    settings::load(objects).await?.ok_or_else(|| {
        Error::new(
            Code::Refused,
            "no settings are accepted yet",
            "write a tree, such as examples/zrinski.toml, and run `cassiareel settings apply FILE`",
        )
    })
}

/// Validates a file.
///
/// # Errors
///
/// Fails with every error in the file.
pub fn validate(file: &str) -> Result<Report, Error> {
    let tree = read_draft(file)?.tree;
    let text = format!(
        "{file} is valid: {} services, {} client accounts",
        tree.services.len(),
        tree.accounts.len()
    );
    Ok(Report::new(text, json!({"file": file, "faults": []})))
}

/// Compares a file with another file or with the accepted tree.
///
/// Without either, the file is compared with an empty tree.
///
/// # Errors
///
/// Fails if a file or the accepted tree can't be read.
pub async fn diff_files(
    objects: Option<&dyn Objects>,
    file: &str,
    other: Option<&str>,
) -> Result<Report, Error> {
    let new = read_draft(file)?.tree;
    let old = match (other, objects) {
        (Some(other), _) => read_draft(other)?.tree,
        (None, Some(objects)) => load_accepted(objects).await?.tree,
        (None, None) => Tree::default(),
    };
    let changes = diff(&old, &new);
    let text = match changes.is_empty() {
        true => "no difference".to_owned(),
        false => format_changes(&changes),
    };
    Ok(Report::new(text, json!({"changes": changes})))
}

/// Returns the accepted tree as the text of a file to edit.
///
/// # Errors
///
/// Fails if the tree can't be read.
pub async fn get(objects: &dyn Objects) -> Result<Report, Error> {
    let loaded = load_accepted(objects).await?;
    let draft = Draft {
        base: Some(loaded.revision()),
        tree: loaded.tree,
    };
    let json = json!({"revision": draft.base, "tree": draft.tree});
    Ok(Report::new(draft.to_toml(), json))
}

/// Options of [`apply_file`].
#[derive(Clone, Debug, Default)]
pub struct ApplyOptions {
    /// The revision that the file was made from, if the file does not name it.
    pub base: Option<Revision>,
    /// Whether to rebase the edit on newer ones that change different paths.
    pub rebase: bool,
    /// The purpose of the edit, recorded in the history.
    pub note: String,
}

/// Applies a file as the next revision.
///
/// # Errors
///
/// Fails as [`settings::apply`] does.
pub async fn apply_file(
    objects: &dyn Objects,
    author: &str,
    file: &str,
    options: &ApplyOptions,
) -> Result<(Applied, Report), Error> {
    let draft = read_draft(file)?;
    let edit = Edit {
        base: options.base.or(draft.base),
        tree: draft.tree,
        author: author.to_owned(),
        note: options.note.clone(),
        time_ms: now_ms(),
        rebase: options.rebase,
    };
    let applied = settings::apply(objects, &edit).await?;
    let report = applied_report(&applied);
    Ok((applied, report))
}

/// Applies a function to the accepted tree and makes the result the next revision.
///
/// Edits that others make in the meantime are kept: the change is rebased on them.
pub(crate) async fn edit_accepted<F>(
    objects: &dyn Objects,
    author: &str,
    note: &str,
    edit: F,
) -> Result<Applied, Error>
where
    F: Fn(&mut Tree) -> Result<(), Error>,
{
    let loaded = load_accepted(objects).await?;
    let mut tree = loaded.tree.clone();
    edit(&mut tree)?;
    let edit = Edit {
        base: Some(loaded.revision()),
        tree,
        author: author.to_owned(),
        note: note.to_owned(),
        time_ms: now_ms(),
        rebase: true,
    };
    Ok(settings::apply(objects, &edit).await?)
}

/// Reports an applied edit.
pub(crate) fn applied_report(applied: &Applied) -> Report {
    let Applied {
        revision, changes, ..
    } = applied;
    let text = match changes.is_empty() {
        true => format!("nothing changes: revision {revision} already has these settings"),
        false => format!(
            "revision {revision} is accepted\n{}",
            format_changes(changes)
        ),
    };
    let json = json!({"revision": revision, "changes": changes});
    Report::new(text, json)
}

/// Options of [`show`].
#[derive(Clone, Debug, Default)]
pub struct ShowOptions {
    /// The path; empty for the root.
    pub path: String,
    /// Whether to show each value that applies at the path, with the node of the tree that sets it.
    pub origin: bool,
    /// With `origin`, shows the values for requests to this service.
    pub service: Option<String>,
    /// With `origin`, shows the values for requests to this version of the service.
    pub version: Option<String>,
    /// With `origin`, shows the values for requests that arrive at nodes in this data centre.
    pub data_centre: Option<String>,
}

/// Shows a node of a tree, or every value that applies there and its origin.
///
/// # Errors
///
/// Fails if the path does not exist in the tree.
pub fn show(tree: &Tree, options: &ShowOptions) -> Result<Report, Error> {
    let path = Path::parse(&options.path);
    let value = find_value(tree, &path)?;
    if !options.origin {
        let text = match &value {
            toml::Value::Table(table) => table.to_string(),
            other => other.to_string(),
        };
        let json = serde_json::to_value(&value).unwrap_or(Value::Null);
        return Ok(Report::new(text, json));
    }
    let scope = request_scope(&path, options);
    let origins = tree.origins(&scope);
    let mut rows = vec![heading(&["value", "is", "said by"])];
    rows.extend(origins.iter().map(|origin| {
        let from = origin.from.as_ref();
        let from = from.map_or("built in".to_owned(), ToString::to_string);
        vec![origin.name.to_string(), origin.value.clone(), from]
    }));
    Ok(Report::new(table(&rows), json!({"values": origins})))
}

/// Returns the value at a path of a tree.
fn find_value(tree: &Tree, path: &Path) -> Result<toml::Value, Error> {
    let table = toml::Table::try_from(tree).map_err(|err| {
        Error::new(
            Code::Refused,
            err.to_string(),
            "report this as a bug, with the tree",
        )
    })?;
    let mut value = toml::Value::Table(table);
    for (depth, name) in path.segments().iter().enumerate() {
        let next = value.as_table().and_then(|table| table.get(name)).cloned();
        let Some(next) = next else {
            let names: Vec<&str> = path.segments()[..depth]
                .iter()
                .map(String::as_str)
                .collect();
            let above = Path::root().join(&names);
            let known: Vec<&str> = value
                .as_table()
                .map(|table| table.keys().map(String::as_str).collect())
                .unwrap_or_default();
            return Err(Error::new(
                Code::Refused,
                format!("there is no {path} in the tree"),
                format!("`{above}` has: {}", known.join(", ")),
            ));
        };
        value = next;
    }
    Ok(value)
}

/// Returns the scope of the requests to which the node at a path applies.
fn request_scope<'a>(path: &'a Path, options: &'a ShowOptions) -> Scope<'a> {
    let mut scope = Scope {
        data_centre: options.data_centre.as_deref(),
        service: options.service.as_deref(),
        version: options.version.as_deref(),
        ..Scope::default()
    };
    let names: Vec<&str> = path.segments().iter().map(String::as_str).collect();
    match names.as_slice() {
        ["regions", _, "data_centres", name, ..] => scope.data_centre = Some(name),
        ["services", service, rest @ ..] => {
            scope.service = Some(service);
            match rest {
                ["routes", start, ..] => scope.path = Some(start),
                ["versions", version, rest @ ..] => {
                    scope.version = Some(version);
                    if let ["placements", place, ..] = rest {
                        scope.placement = Some(place);
                    }
                }
                _ => {}
            }
        }
        ["accounts", account, rest @ ..] => {
            scope.account = Some(account);
            match rest {
                ["uses", service, ..] => scope.service = Some(service),
                ["callers", caller, ..] => scope.caller = Some(caller),
                _ => {}
            }
        }
        _ => {}
    }
    scope
}

/// Lists revisions, or shows what one of them changed.
///
/// # Errors
///
/// Fails if the revision, or the one before it, is no longer in the history.
pub async fn history(objects: &dyn Objects, revision: Option<Revision>) -> Result<Report, Error> {
    let loaded = load_accepted(objects).await?;
    let Some(revision) = revision else {
        return Ok(list_revisions(&loaded));
    };
    let unknown = |revision| {
        Error::new(
            Code::Refused,
            format!("revision {revision} is not in the history"),
            "`cassiareel settings history` lists the revisions that are",
        )
    };
    let accepted = loaded
        .head
        .find(revision)
        .ok_or_else(|| unknown(revision))?;
    let new = read_revision(objects, accepted).await?;
    let old = match revision {
        1 => Tree::default(),
        _ => {
            let previous = loaded.head.find(revision - 1);
            let previous = previous.ok_or_else(|| unknown(revision - 1))?;
            read_revision(objects, previous).await?
        }
    };
    let changes = diff(&old, &new);
    let text = format!(
        "revision {revision} by {}: {}\n{}",
        accepted.author,
        accepted.note,
        format_changes(&changes)
    );
    Ok(Report::new(
        text,
        json!({"accepted": accepted, "changes": changes}),
    ))
}

/// Lists the revisions in the history.
fn list_revisions(loaded: &LoadedRevision) -> Report {
    let mut rows = vec![heading(&["revision", "age", "author", "note"])];
    let time = now_ms();
    rows.extend(loaded.head.revisions().map(|old| {
        let age = Duration::from_millis(time.saturating_sub(old.time));
        // A revision that was written without this tool has time 0.
        let age = match old.time {
            0 => "-".to_owned(),
            _ => DurationText::format(Duration::from_secs(age.as_secs())),
        };
        vec![
            old.revision.to_string(),
            age,
            old.author.clone(),
            old.note.clone(),
        ]
    }));
    let revisions: Vec<_> = loaded.head.revisions().collect();
    Report::new(table(&rows), json!({"revisions": revisions}))
}
