//! Rules for imports: one per line, without braces, in three groups separated by blank lines.

/// Group of an import, in the required order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Group {
    Std,
    Other,
    Local,
}

/// Returns the line numbers of violations and what was expected there.
pub fn check(text: &str) -> Vec<(usize, String)> {
    let mut found = Vec::new();
    let mut previous: Option<Group> = None;
    let mut gap = Gap::None;
    for (i, line) in text.lines().enumerate() {
        if is_import(line) && (line.contains('{') || line.matches(';').count() > 1) {
            found.push((
                i + 1,
                "expected one import a line, without braces".to_owned(),
            ));
        }
        // Indented imports and re-exports do not belong to the groups.
        let Some(path) = line.strip_prefix("use ") else {
            gap = gap.after(line);
            continue;
        };
        let group = group_of(path);
        if let Some(expected) = previous.and_then(|previous| order_violation(previous, group, gap))
        {
            found.push((i + 1, expected.to_owned()));
        }
        previous = Some(group);
        gap = Gap::None;
    }
    found
}

/// Kind of text between two imports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gap {
    None,
    Blank,
    Code,
}

impl Gap {
    fn after(self, line: &str) -> Self {
        match self {
            Self::Code => Self::Code,
            _ if line.trim().is_empty() => Self::Blank,
            _ if is_import(line) || line.starts_with("#[") => self,
            _ => Self::Code,
        }
    }
}

fn order_violation(previous: Group, group: Group, gap: Gap) -> Option<&'static str> {
    if group < previous {
        return Some("expected groups in the order std, other crates, own crate");
    }
    match (group == previous, gap) {
        (true, Gap::Blank) => Some("expected no blank line within a group of imports"),
        (false, Gap::None) => Some("expected a blank line between groups of imports"),
        _ => None,
    }
}

fn is_import(line: &str) -> bool {
    let line = line.trim_start();
    let line = match line.strip_prefix("pub") {
        Some(rest) => rest.strip_prefix("(crate)").unwrap_or(rest).trim_start(),
        None => line,
    };
    line.starts_with("use ")
}

fn group_of(path: &str) -> Group {
    let first = path.split([':', ';', ' ']).next().unwrap_or_default();
    match first {
        "std" | "core" | "alloc" => Group::Std,
        "crate" | "super" | "self" => Group::Local,
        _ => Group::Other,
    }
}
