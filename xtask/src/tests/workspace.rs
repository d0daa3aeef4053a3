//! Tests of the environment that tasks pass to cargo.

use crate::workspace::is_package_variable;

#[test]
fn only_variables_of_the_running_package_are_package_variables() {
    let check =
        |name: &str, expected: bool| assert_eq!(is_package_variable(name), expected, "{name}");
    check("CARGO_MANIFEST_DIR", true);
    check("CARGO_PKG_NAME", true);
    check("CARGO_BIN_NAME", true);
    check("CARGO", false);
    check("CARGO_HOME", false);
    check("CARGO_TARGET_DIR", false);
    check("PATH", false);
}
