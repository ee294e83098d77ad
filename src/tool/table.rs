//! Text tables.

/// Renders `header` and `rows` as aligned columns.
pub fn render(header: &[&str], rows: &[Vec<String>]) -> String {
    let header: Vec<String> = header.iter().map(|&name| name.to_owned()).collect();
    let lines = || std::iter::once(&header).chain(rows);
    let width = |column: usize| {
        lines()
            .filter_map(|row| row.get(column))
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let render_row = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths);
        let padded: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        format!("{}\n", padded.join("  ").trim_end())
    };
    lines().map(render_row).collect()
}
