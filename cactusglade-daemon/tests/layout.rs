//! No file of the daemon may import, by whatever way, a file that imports it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

/// Files by their path from the source folder, with those that each imports.
type Imports = BTreeMap<PathBuf, BTreeSet<PathBuf>>;

fn files(folder: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(folder).expect("the source folder can be read") {
        let path = entry.expect("its entries can be read").path();
        if path.is_dir() {
            files(&path, found);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            found.push(path);
        }
    }
}

/// The file that a path of modules leads to: the deepest one there is.
fn resolve(root: &Path, modules: &[&str]) -> Option<PathBuf> {
    (1..=modules.len()).rev().find_map(|depth| {
        let path = root.join(modules[..depth].join("/"));
        let candidates = [path.with_extension("rs"), path.join("mod.rs")];
        candidates.into_iter().find(|candidate| candidate.is_file())
    })
}

/// The modules that an import names, from the root of the crate.
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
            .expect("it lies in the root")
            .to_path_buf();
        let named = text.lines().filter_map(|line| modules(&file, line));
        let named = named.filter_map(|modules| resolve(root, &modules));
        let named = named.filter(|named| *named != path);
        let named = named.map(|named| named.strip_prefix(root).map(Path::to_path_buf));
        let named = named
            .collect::<Result<_, _>>()
            .expect("it lies in the root");
        (file, named)
    };
    found.into_iter().map(read).collect()
}

/// The way from a file back to itself, if there is one.
fn circle(imports: &Imports, start: &Path) -> Option<Vec<PathBuf>> {
    let mut seen = BTreeSet::new();
    let mut open = vec![vec![start.to_path_buf()]];
    while let Some(way) = open.pop() {
        for next in way
            .last()
            .and_then(|last| imports.get(last))
            .into_iter()
            .flatten()
        {
            let mut way = way.clone();
            way.push(next.clone());
            if next == start {
                return Some(way);
            }
            if seen.insert(next.clone()) {
                open.push(way);
            }
        }
    }
    None
}

#[test]
fn no_file_imports_one_that_imports_it() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let imports = imports(&root);
    assert!(imports.len() > 40, "only {} files were read", imports.len());
    let circles: Vec<_> = imports
        .keys()
        .filter_map(|file| circle(&imports, file))
        .collect();
    assert!(circles.is_empty(), "circles of imports: {circles:#?}");
}
