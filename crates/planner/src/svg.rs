//! Minimal SVG writer.

use std::fmt::Write;

/// Collects the elements of one SVG document.
#[derive(Debug)]
pub struct SvgWriter {
    body: String,
    width: f64,
    height: f64,
}

impl SvgWriter {
    /// Creates a document of a size in pixels.
    pub fn new(width: f64, height: f64) -> Self {
        let body = String::new();
        Self {
            body,
            width,
            height,
        }
    }

    /// Adds a filled rectangle.
    pub fn rect(&mut self, x: f64, y: f64, width: f64, height: f64, fill: &str) {
        self.element(format_args!(
            r#"<rect x="{x:.1}" y="{y:.1}" width="{width:.1}" height="{height:.1}" fill="{fill}"/>"#
        ));
    }

    /// Adds a line.
    pub fn line(&mut self, from: (f64, f64), to: (f64, f64), stroke: &str) {
        let ((x1, y1), (x2, y2)) = (from, to);
        self.element(format_args!(
            r#"<line x1="{x1:.1}" y1="{y1:.1}" x2="{x2:.1}" y2="{y2:.1}" stroke="{stroke}"/>"#
        ));
    }

    /// Adds a curve through `points`.
    pub fn polyline(&mut self, points: &[(f64, f64)], stroke: &str) {
        let mut path = String::new();
        for (x, y) in points {
            path.push_str(&format!("{x:.1},{y:.1} "));
        }
        let path = path.trim_end();
        self.element(format_args!(
            r#"<polyline points="{path}" fill="none" stroke="{stroke}" stroke-width="2"/>"#
        ));
    }

    /// Adds a line of text; `y` is its base line.
    pub fn text(&mut self, x: f64, y: f64, size: u32, text: &str) {
        let text = escape(text);
        self.element(format_args!(
            r#"<text x="{x:.1}" y="{y:.1}" font-size="{size}">{text}</text>"#
        ));
    }

    /// Returns the document.
    pub fn finish(self) -> String {
        let (width, height) = (self.width, self.height);
        format!(
            concat!(
                r#"<svg xmlns="http://www.w3.org/2000/svg" width="{width:.0}" "#,
                r#"height="{height:.0}" font-family="sans-serif">"#,
                "\n",
                r#"<rect width="100%" height="100%" fill="white"/>"#,
                "\n{body}</svg>\n"
            ),
            width = width,
            height = height,
            body = self.body
        )
    }

    fn element(&mut self, element: std::fmt::Arguments<'_>) {
        // Writing to a string cannot fail.
        let _ = writeln!(self.body, "{element}");
    }
}

fn escape(text: &str) -> String {
    let text = text.replace('&', "&amp;");
    text.replace('<', "&lt;").replace('>', "&gt;")
}
