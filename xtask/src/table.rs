//! Plain-text tables for the terminal.

/// Formats a header and rows, with each column as wide as its widest cell.
pub fn format<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(&header.map(str::to_owned), &widths);
    for row in rows {
        text.push_str(&line(row, &widths));
    }
    text
}

fn line<const N: usize>(cells: &[String; N], widths: &[usize; N]) -> String {
    let padded = cells.iter().zip(widths);
    let padded: Vec<String> = padded
        .map(|(cell, width)| format!("{cell:width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
