//! SVG plots and self-contained HTML pages for tools that report values over time.

use plotters::prelude::*;

pub use plotters::style::RGBColor;

/// Colour of successful requests.
pub const GREEN: RGBColor = RGBColor(0, 120, 60);
/// Colour of refused requests.
pub const AMBER: RGBColor = RGBColor(200, 130, 0);
/// Colour of failed requests.
pub const RED: RGBColor = RGBColor(200, 30, 30);
/// Colour of a series that is no outcome.
pub const BLUE: RGBColor = RGBColor(40, 80, 180);
/// Colour of a second series that is no outcome.
pub const PURPLE: RGBColor = RGBColor(150, 40, 150);

const WIDTH_PX: u32 = 860;
const HEIGHT_PX: u32 = 240;

/// A line of a plot: its label, colour and points (x, y).
pub type Line<'a> = (&'a str, RGBColor, Vec<(f64, f64)>);

/// Converts a series with one value per second, starting at second 0, to points.
pub fn seconds(values: impl IntoIterator<Item = f64>) -> Vec<(f64, f64)> {
    values.into_iter().enumerate().map(|(k, v)| (k as f64, v)).collect()
}

/// Draws a line plot as SVG. `axes` are the descriptions of the x and the y axis. Both axes start at 0.
///
/// # Errors
/// Returns an error if the plot cannot be drawn.
pub fn plot(title: &str, axes: (&str, &str), lines: &[Line<'_>]) -> Result<String, String> {
    let mut svg = String::new();
    let points = || lines.iter().flat_map(|l| &l.2);
    let max_x = points().map(|p| p.0).fold(1.0, f64::max);
    let max_y = points().map(|p| p.1).filter(|y| y.is_finite()).fold(1e-6, f64::max) * 1.1;
    let mut draw = || -> Result<(), Box<dyn std::error::Error>> {
        let area = SVGBackend::with_string(&mut svg, (WIDTH_PX, HEIGHT_PX)).into_drawing_area();
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(6)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart.configure_mesh().x_desc(axes.0).y_desc(axes.1).max_light_lines(1).draw()?;
        for (name, colour, points) in lines {
            let colour = *colour;
            chart
                .draw_series(LineSeries::new(points.iter().copied(), colour.stroke_width(2)))?
                .label(*name)
                .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 18, y)], colour));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).draw()?;
        area.present()?;
        Ok(())
    };
    draw().map_err(|e| format!("cannot draw plot {title:?}: {e}"))?;
    Ok(svg)
}

/// Builds an HTML page from a title, the text of a report, SVG plots, and the values as JSON for other
/// programs. The page refers to no other file and needs no network.
#[must_use]
pub fn page(title: &str, text: &str, plots: &str, json: &str) -> String {
    let (title, text) = (escape(title), escape(text));
    let data = json.replace('<', "\\u003c");
    format!(
        "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n\
         <style>body{{font-family:sans-serif;max-width:900px;margin:2em auto}}pre{{background:#f4f4f4;padding:1em;\
         overflow-x:auto}}</style></head>\n<body><h1>{title}</h1>\n<pre>{text}</pre>\n{plots}\n\
         <script type=\"application/json\" id=\"data\">{data}</script>\n</body></html>\n"
    )
}

/// Escapes text for use in HTML.
#[must_use]
pub fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
