//! Checks that the committed code in `src/schema/` is what the schema files generate.
//!
//! `ASPENRAIL_REGENERATE=1 cargo test --test schema` regenerates it.

use std::{fs, path::Path};

use typify::{TypeSpace, TypeSpaceImpl, TypeSpacePatch, TypeSpaceSettings};

/// Types that are small keys: copied, hashed and ordered.
const KEY_TYPES: &[&str] = &[
    "MemberId",
    "JobId",
    "TaskId",
    "WatchId",
    "SessionId",
    "VmId",
    "Revision",
    "RequestId",
    "EndpointId",
    "WorkflowId",
    "WorkerId",
    "TaskRef",
    "RunRef",
];

/// Types that are keys of ordered maps and own text.
const ORDERED_TYPES: &[&str] = &["Caller"];

/// Types that have an empty value.
const DEFAULT_TYPES: &[&str] = &["Membership", "Evacuations"];

/// Small types that are cheap to copy.
const COPY_TYPES: &[&str] = &[
    "Resources",
    "Usage",
    "Load",
    "VoteRequest",
    "VoteReply",
    "TimeoutNow",
    "RunOutcome",
    "WorkflowPhase",
    "RefusalCause",
    "NotedEnds",
    "AdmissionCause",
    "AdmissionRejection",
    "WaitCause",
];

fn generate(schema_text: &str) -> String {
    let mut settings = TypeSpaceSettings::default();
    settings
        .with_derive("PartialEq".to_owned())
        .with_replacement(
            "Text",
            "::compact_str::CompactString",
            [TypeSpaceImpl::Display, TypeSpaceImpl::FromStr].into_iter(),
        )
        .with_replacement(
            "Address",
            "::std::net::SocketAddr",
            [TypeSpaceImpl::Display, TypeSpaceImpl::FromStr].into_iter(),
        )
        .with_replacement("Blob", "::serde_bytes::ByteBuf", std::iter::empty());
    for name in KEY_TYPES {
        let mut patch = TypeSpacePatch::default();
        for trait_name in ["Copy", "Eq", "Hash", "PartialOrd", "Ord"] {
            patch.with_derive(trait_name.to_owned());
        }
        settings.with_patch(*name, &patch);
    }
    for name in ORDERED_TYPES {
        let mut patch = TypeSpacePatch::default();
        for trait_name in ["Eq", "Hash", "PartialOrd", "Ord"] {
            patch.with_derive(trait_name.to_owned());
        }
        settings.with_patch(*name, &patch);
    }
    for name in COPY_TYPES {
        settings.with_patch(*name, TypeSpacePatch::default().with_derive("Copy".to_owned()));
    }
    for name in DEFAULT_TYPES {
        let mut patch = TypeSpacePatch::default();
        patch.with_derive("Default".to_owned());
        settings.with_patch(*name, &patch);
    }
    let mut document: serde_json::Value =
        serde_json::from_str(schema_text).expect("schema is JSON");
    strip_ranges(&mut document);
    let schema: schemars::schema::RootSchema =
        serde_json::from_value(document).expect("schema is JSON Schema");
    let mut space = TypeSpace::new(&settings);
    space.add_root_schema(schema).expect("schema has supported types only");
    let file = syn::parse2::<syn::File>(space.to_stream()).expect("generator prints Rust");
    tidy(&prettyplease::unparse(&file))
}

/// Removes ranges and defaults, which `config` checks with better messages; the generator would
/// turn them into types such as `NonZeroU32`.
fn strip_ranges(it: &mut serde_json::Value) {
    match it {
        serde_json::Value::Object(map) => {
            if map.get("type").is_some_and(|it| it == "integer") {
                for key in ["minimum", "maximum", "default"] {
                    map.remove(key);
                }
            }
            if map.contains_key("allOf") {
                map.remove("default");
            }
            map.values_mut().for_each(strip_ranges);
        }
        serde_json::Value::Array(list) => list.iter_mut().for_each(strip_ranges),
        _ => (),
    }
}

/// Removes the copies of the schema from doc comments, and puts standard and foreign derives on
/// separate lines.
fn tidy(code: &str) -> String {
    let mut res = String::from(
        "// Generated from the schema of the same name; see tests/schema.rs. Do not edit.\n\n",
    );
    let mut lines = code.lines();
    while let Some(line) = lines.next() {
        match line.trim() {
            "/// <details><summary>JSON schema</summary>" => {
                lines.by_ref().find(|it| it.trim() == "/// </details>");
            }
            "///" => (),
            "#[derive(" => {
                let list: Vec<_> =
                    lines.by_ref().map(str::trim).take_while(|it| *it != ")]").collect();
                push_derives(&mut res, &list);
            }
            it if it.starts_with("#[derive(") => {
                let list: Vec<_> =
                    it["#[derive(".len()..].trim_end_matches(")]").split(", ").collect();
                push_derives(&mut res, &list);
            }
            _ => {
                res.push_str(line);
                res.push('\n');
            }
        }
    }
    res
}

fn push_derives(res: &mut String, list: &[&str]) {
    let names = list.iter().map(|it| it.trim_end_matches(','));
    let (foreign, std): (Vec<_>, Vec<_>) = names.partition(|it| it.contains("serde"));
    res.push_str(&format!("#[derive({})]\n#[derive({})]\n", std.join(", "), foreign.join(", ")));
}

fn check(name: &str) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let schema_text =
        fs::read_to_string(root.join(format!("schema/{name}.json"))).expect("schema exists");
    let path = root.join(format!("src/schema/{name}.rs"));
    let generated = generate(&schema_text);
    if std::env::var_os("ASPENRAIL_REGENERATE").is_some() {
        fs::write(&path, &generated).expect("source folder is writable");
    }
    let committed = fs::read_to_string(&path).expect("generated code is committed");
    assert!(
        committed == generated,
        "src/schema/{name}.rs differs from schema/{name}.json: regenerate it"
    );
}

#[test]
fn messages_match_their_schema() {
    check("messages");
}

#[test]
fn settings_match_their_schema() {
    check("settings");
}
