//! The keys of the files: a file with every part is printed as it always was, and read again.

use tideroute_config_language::{print, read};

const EVERY_PART: &str = include_str!("every_part.cue");
/// As the first version printed it.
const PRINTED: &str = include_str!("every_part.printed.cue");

#[test]
fn a_file_with_every_part_is_printed_with_the_keys_it_always_had() {
    let file = read("every_part.cue", EVERY_PART).unwrap_or_else(|errors| panic!("{errors}"));
    let printed = print(&file).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(printed, PRINTED);
}

#[test]
fn what_is_printed_reads_back_to_the_same_text() {
    let file = read("every_part.printed.cue", PRINTED).unwrap_or_else(|errors| panic!("{errors}"));
    let printed = print(&file).unwrap_or_else(|errors| panic!("{errors}"));
    assert_eq!(printed, PRINTED);
}
