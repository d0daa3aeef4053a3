//! Tests that names in the documents exist in the workspace.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use settings::Settings;

use crate::tidy;
use crate::workspace::root;

/// Directories of the workspace whose paths documents may name.
const DIRS: [&str; 7] = [
    "crates/",
    "cli/",
    "daemons/",
    "docs/",
    "examples/",
    "standins/",
    "xtask/",
];

fn documents() -> Vec<(PathBuf, String)> {
    let docs = fs::read_dir(root().join("docs")).unwrap();
    let mut paths: Vec<PathBuf> = docs.map(|entry| entry.unwrap().path()).collect();
    paths.push(root().join("README.md"));
    paths.retain(|path| path.extension().is_some_and(|extension| extension == "md"));
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).unwrap();
        (path, text)
    };
    paths.into_iter().map(read).collect()
}

/// Returns the code spans, which do not continue across lines.
fn quoted(text: &str) -> impl Iterator<Item = &str> {
    text.lines()
        .flat_map(|line| line.split('`').skip(1).step_by(2))
}

/// Returns the targets of links to files.
fn links(text: &str) -> impl Iterator<Item = &str> {
    let targets = text.split("](").skip(1);
    let targets = targets.filter_map(|rest| rest.split([')', '#']).next());
    targets.filter(|target| !target.is_empty() && !target.contains("://"))
}

fn assert_exists(document: &Path, base: &Path, name: &str) {
    let exists = base.join(name).exists();
    assert!(exists, "{}: {name} does not exist", document.display());
}

/// Returns the source of the crate `sidecar`, the daemon on the users' platform.
fn sidecar_code() -> String {
    let dir = fs::read_dir(root().join("crates/sidecar/src")).unwrap();
    let paths = dir.map(|entry| entry.unwrap().path());
    let files = paths.filter(|path| path.extension().is_some_and(|extension| extension == "rs"));
    files
        .map(|path| fs::read_to_string(path).unwrap())
        .collect()
}

/// Returns the names of log events in code: the first string literal in each call that writes a log
/// line.
fn written_events(code: &str) -> BTreeSet<&str> {
    let calls = ["log_state(", ".emit(", "write("];
    let starts = calls
        .iter()
        .flat_map(|call| code.match_indices(call).map(|(at, call)| at + call.len()));
    let after = starts.filter_map(|at| {
        let call = code.get(at..)?;
        let end = call.find(['{', ';', ')'])?;
        call[..end].split('"').nth(1)
    });
    let is_event = |name: &&str| {
        name.contains('-') || ["announced", "answered", "refused", "repeat"].contains(name)
    };
    after.filter(is_event).collect()
}

#[test]
fn documented_log_events_and_fields_match_the_code() {
    let text = fs::read_to_string(root().join("docs/LOGS.md")).unwrap();
    let code = sidecar_code();
    let mut documented = BTreeSet::new();
    for row in text.lines().filter(|line| line.starts_with("| `")) {
        let cells: Vec<&str> = row.split('|').collect();
        for event in quoted(cells[1]) {
            assert!(code.contains(&format!("\"{event}\"")), "event {event}");
            documented.insert(event);
        }
        for field in quoted(cells[3]) {
            assert!(
                code.contains(&format!("\"{field}\":")) || code.contains(&format!("\"{field}\"")),
                "field {field} of {}",
                cells[1]
            );
        }
    }
    for event in written_events(&code) {
        assert!(documented.contains(event), "{event} is not in docs/LOGS.md");
    }
}

#[test]
fn links_and_paths_in_the_documents_exist() {
    for (path, text) in documents() {
        let dir = path.parent().unwrap();
        links(&text).for_each(|target| assert_exists(&path, dir, target));
        let is_path = |word: &&str| {
            let plain = |c: char| c.is_ascii_alphanumeric() || "/-_.".contains(c);
            DIRS.iter().any(|start| word.starts_with(start)) && word.chars().all(plain)
        };
        let paths = quoted(&text).filter(is_path);
        paths.for_each(|name| assert_exists(&path, &root(), name));
    }
}

#[test]
fn the_operations_page_names_each_settings_key() {
    let page = fs::read_to_string(root().join("docs/OPERATIONS.md")).unwrap();
    let named: BTreeSet<&str> = quoted(&page).collect();
    let settings = Settings::load(root().join("examples/tanoa.yaml")).unwrap();
    let settings = serde_yaml_ng::to_value(settings).unwrap();
    for key in keys(&settings, "") {
        assert!(named.contains(key.as_str()), "{key} is not on the page");
    }
}

/// Returns the dotted paths of all values that are not mappings.
fn keys(value: &serde_yaml_ng::Value, path: &str) -> Vec<String> {
    let Some(map) = value.as_mapping() else {
        return vec![path.to_owned()];
    };
    let nested = map.iter().flat_map(|(key, value)| {
        let key = key.as_str().unwrap();
        match path {
            "" => keys(value, key),
            _ => keys(value, &format!("{path}.{key}")),
        }
    });
    nested.collect()
}

/// Code spans with `::`, such as `rollout::tests::a_late_fault_is_found`, name tests.
#[test]
fn tests_named_in_the_proofs_exist() {
    let Ok(page) = fs::read_to_string(root().join("docs/PROOFS.md")) else {
        return;
    };
    let sources = tidy::source_files(&root()).unwrap();
    let sources: String = sources
        .iter()
        .map(|path| fs::read_to_string(path).unwrap())
        .collect();
    for name in quoted(&page).filter(|name| name.contains("::")) {
        let test = name.rsplit("::").next().unwrap();
        let exists = sources.contains(&format!("fn {test}("));
        assert!(exists, "docs/PROOFS.md: no test {name}");
    }
}
