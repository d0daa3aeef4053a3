//! Tests of the definition of the command line.

#[test]
fn the_command_line_is_well_defined() {
    crate::command().debug_assert();
}
