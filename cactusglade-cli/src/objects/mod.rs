//! Reads a folder of object files and checks them together as one set.

use std::path::Path;
use std::path::PathBuf;

use cactusglade_core::fields::Problem;
use cactusglade_core::meta;
use cactusglade_core::meta::Document;
use cactusglade_core::meta::Source;
use cactusglade_core::set::Set;
use cactusglade_core::units::Generation;

/// Result of reading objects; the error holds all problems of all files.
pub type Result<T> = std::result::Result<T, Vec<Problem>>;

/// Reads every object file (`.toml` or `.json`) of a folder, or one file, and checks the set.
///
/// # Errors
///
/// Returns every problem with its file, path and reason.
pub fn load(path: &Path) -> Result<Document> {
    let mut sources = Vec::new();
    for file in files(path)? {
        let name = file.display().to_string();
        let text = std::fs::read_to_string(&file);
        let text = text.map_err(|error| problem(&name, &error.to_string()))?;
        sources.push(Source { file: name, text });
    }
    check(&sources)
}

/// Checks object files together as one set.
///
/// # Errors
///
/// Returns every problem with its file, path and reason.
pub fn check(sources: &[Source]) -> Result<Document> {
    let (document, mut problems) = meta::read(sources);
    if let Err(invalid) = Set::try_new(&document, Generation(1), &Set::default()) {
        problems.extend(invalid);
    }
    if problems.is_empty() {
        Ok(document)
    } else {
        Err(problems)
    }
}

fn files(path: &Path) -> Result<Vec<PathBuf>> {
    if path.is_file() {
        return Ok(vec![path.to_owned()]);
    }
    let name = path.display().to_string();
    let entries = std::fs::read_dir(path).map_err(|error| problem(&name, &error.to_string()))?;
    let mut files = entries
        .filter_map(|entry| entry.ok().map(|entry| entry.path()))
        .filter(|file| file.extension().is_some_and(|e| e == "toml" || e == "json"))
        .collect::<Vec<_>>();
    files.sort();
    if files.is_empty() {
        return Err(problem(&name, "contains no .toml or .json file"));
    }
    Ok(files)
}

fn problem(file: &str, reason: &str) -> Vec<Problem> {
    vec![Problem {
        file: file.to_owned(),
        path: "(file)".to_owned(),
        reason: reason.to_owned(),
    }]
}
