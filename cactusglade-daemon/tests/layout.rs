//! Guards against import cycles between the daemon's source files, also across several files.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// `Imports` maps each file, by its path relative to the source folder, to the files it imports.
type Imports = BTreeMap<PathBuf, BTreeSet<PathBuf>>;

fn files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the source folder can be read") {
        let path = entry
            .expect("the entries of the source folder can be read")
            .path();
        if path.is_dir() {
            files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// Returns the file of the deepest module on a module path that has a file.
fn resolve(root: &Path, modules: &[&str]) -> Option<PathBuf> {
    (1..=modules.len()).rev().find_map(|depth| {
        let path = root.join(modules[..depth].join("/"));
        let candidates = [path.with_extension("rs"), path.join("mod.rs")];
        candidates.into_iter().find(|candidate| candidate.is_file())
    })
}

/// Returns the path of an import from the root of the crate, `None` for other lines.
fn modules<'a>(file: &'a Path, line: &'a str) -> Option<Vec<&'a str>> {
    let line = line.trim_start_matches("pub ").strip_prefix("use ")?;
    let path = line.trim_end_matches(';');
    if let Some(path) = path.strip_prefix("crate::") {
        return Some(path.split("::").collect());
    }
    let path = path.strip_prefix("super::")?;
    let mut modules: Vec<&str> = file.iter().filter_map(|part| part.to_str()).collect();
    let is_folder = modules.pop() == Some("mod.rs");
    if is_folder {
        modules.pop();
    }
    modules.extend(path.split("::"));
    Some(modules)
}

fn imports(root: &Path) -> Imports {
    let mut found = Vec::new();
    files(root, &mut found);
    let read = |path: PathBuf| {
        let text = fs::read_to_string(&path).expect("a source file can be read");
        let file = path
            .strip_prefix(root)
            .expect("a source file lies in the source folder")
            .to_path_buf();
        let imported = text.lines().filter_map(|line| modules(&file, line));
        let imported = imported.filter_map(|modules| resolve(root, &modules));
        let imported = imported.filter(|imported| *imported != path);
        let imported = imported.map(|imported| imported.strip_prefix(root).map(Path::to_path_buf));
        let imported = imported
            .collect::<Result<_, _>>()
            .expect("an imported file lies in the source folder");
        (file, imported)
    };
    found.into_iter().map(read).collect()
}

/// Returns the import path from a file back to itself, if there is one.
fn cycle(imports: &Imports, start: &Path) -> Option<Vec<PathBuf>> {
    let mut seen = BTreeSet::new();
    let mut pending = vec![vec![start.to_path_buf()]];
    while let Some(path) = pending.pop() {
        for next in path
            .last()
            .and_then(|last| imports.get(last))
            .into_iter()
            .flatten()
        {
            let mut path = path.clone();
            path.push(next.clone());
            if next == start {
                return Some(path);
            }
            if seen.insert(next.clone()) {
                pending.push(path);
            }
        }
    }
    None
}

#[test]
fn source_files_have_no_import_cycles() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let imports = imports(&root);
    assert!(imports.len() > 40, "only {} files were read", imports.len());
    let cycles: Vec<_> = imports
        .keys()
        .filter_map(|file| cycle(&imports, file))
        .collect();
    assert!(cycles.is_empty(), "import cycles: {cycles:#?}");
}
