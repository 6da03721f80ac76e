//! Guards the keys of the configuration language: a file with every part and every field must print letter for letter as
//! before. A record field that is renamed without its serde `rename` attribute changes the printed file or fails to read.

use tideroute_config_language::{print, read};

const EVERY_PART: &str = include_str!("every_part.cue");
/// The printed form of `every_part.cue` as the first version wrote it.
const PRINTED: &str = include_str!("every_part.printed.cue");

#[test]
fn file_with_every_part_prints_with_unchanged_keys() {
    let file = read("every_part.cue", EVERY_PART).unwrap_or_else(|errors| panic!("{errors}"));
    let printed = print(&file).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(printed, PRINTED);
}

#[test]
fn printed_file_prints_again_to_the_same_text() {
    let file = read("every_part.printed.cue", PRINTED).unwrap_or_else(|errors| panic!("{errors}"));
    let printed = print(&file).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(printed, PRINTED);
}
