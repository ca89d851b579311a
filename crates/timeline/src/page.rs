//! HTML page that draws a merged timeline as SVG.

use std::collections::BTreeMap;
use std::fmt::Write;

use hawthorntide_types::ResultCode;

use crate::{Component, ProcessName, RequestKey, TimedEvent};

const WIDTH: f64 = 1400.0;
const LABEL_WIDTH: f64 = 240.0;
const LANE_HEIGHT: f64 = 28.0;
const TOP_MARGIN: f64 = 40.0;
const DOT_RADIUS: f64 = 3.5;
const AXIS_TICKS: u64 = 10;
/// Browsers become slow on pages with more events.
const MAX_EVENTS: usize = 50_000;
/// One colour per component, in the order of `Component::ALL`.
const COLOURS: [&str; 11] = [
    "#1f77b4", "#2ca02c", "#9467bd", "#8c564b", "#ff7f0e", "#17becf", "#393b79", "#637939",
    "#7f7f7f", "#bcbd22", "#000000",
];

struct Scale {
    first_ms: u64,
    span_ms: u64,
}

impl Scale {
    fn x(&self, at_ms: u64) -> f64 {
        let fraction = (at_ms - self.first_ms) as f64 / self.span_ms as f64;
        LABEL_WIDTH + fraction * (WIDTH - LABEL_WIDTH - 20.0)
    }
}

/// Renders a lane per process, a dot per event and a line that connects the events of a request across
/// processes.
///
/// `events` must be merged. Only the last 50,000 events are drawn; the page states how many earlier
/// events were left out.
pub fn render_page(title: &str, events: &[TimedEvent]) -> String {
    let skipped = events.len().saturating_sub(MAX_EVENTS);
    let events = &events[skipped..];
    let lanes = assign_lanes(events);
    let scale = time_scale(events);
    let height = TOP_MARGIN + LANE_HEIGHT * lanes.len() as f64 + 20.0;
    let title = escape(title);
    let mut page = String::new();
    push_fmt(
        &mut page,
        format_args!(
            "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>{title}</title>\n\
             <style>body{{font:13px sans-serif}}text{{font:12px sans-serif}}</style></head><body>\n\
             <h1>{title}</h1>\n<p>{} events drawn, {skipped} earlier events omitted.</p>\n",
            events.len()
        ),
    );
    draw_legend(&mut page);
    push_fmt(
        &mut page,
        format_args!(
            "<svg width=\"{WIDTH}\" height=\"{height}\" xmlns=\"http://www.w3.org/2000/svg\">\n"
        ),
    );
    draw_axis(&mut page, &scale, height);
    for (process, lane) in &lanes {
        draw_lane(&mut page, process, *lane);
    }
    draw_requests(&mut page, events, &lanes, &scale);
    for event in events {
        draw_event(&mut page, event, lanes[&event.process], &scale);
    }
    page.push_str("</svg>\n</body></html>\n");
    page
}

fn assign_lanes(events: &[TimedEvent]) -> BTreeMap<&ProcessName, usize> {
    let mut lanes: BTreeMap<_, _> = events.iter().map(|event| (&event.process, 0)).collect();
    for (index, lane) in lanes.values_mut().enumerate() {
        *lane = index;
    }
    lanes
}

fn time_scale(events: &[TimedEvent]) -> Scale {
    let wall_times = || events.iter().map(|event| event.at.wall_time().get());
    let first_ms = wall_times().min().unwrap_or(0);
    let last_ms = wall_times().max().unwrap_or(0);
    Scale {
        first_ms,
        span_ms: (last_ms - first_ms).max(1),
    }
}

fn lane_y(lane: usize) -> f64 {
    TOP_MARGIN + LANE_HEIGHT * (lane as f64 + 0.5)
}

fn draw_legend(page: &mut String) {
    page.push_str("<p>");
    for (component, colour) in Component::ALL.iter().zip(COLOURS) {
        push_fmt(
            page,
            format_args!("<span style=\"color:{colour}\">&#9679;</span> {component:?} "),
        );
    }
    page.push_str("Events with a result code other than ok have a red outline.</p>\n");
}

fn draw_axis(page: &mut String, scale: &Scale, height: f64) {
    for tick in 0..=AXIS_TICKS {
        let offset_ms = scale.span_ms * tick / AXIS_TICKS;
        let x = scale.x(scale.first_ms + offset_ms);
        push_fmt(
            page,
            format_args!(
                "<line x1=\"{x:.1}\" x2=\"{x:.1}\" y1=\"{TOP_MARGIN}\" y2=\"{height}\" stroke=\"#ddd\"/>\
                 <text x=\"{x:.1}\" y=\"{}\">{offset_ms} ms</text>\n",
                TOP_MARGIN - 8.0
            ),
        );
    }
}

fn draw_lane(page: &mut String, process: &ProcessName, lane: usize) {
    let y = lane_y(lane);
    let name = escape(&process.0);
    push_fmt(
        page,
        format_args!(
            "<line x1=\"{LABEL_WIDTH}\" x2=\"{WIDTH}\" y1=\"{y}\" y2=\"{y}\" stroke=\"#eee\"/>\
             <text x=\"4\" y=\"{}\">{name}</text>\n",
            y + 4.0
        ),
    );
}

fn draw_requests(
    page: &mut String,
    events: &[TimedEvent],
    lanes: &BTreeMap<&ProcessName, usize>,
    scale: &Scale,
) {
    let mut paths: BTreeMap<RequestKey, Vec<(f64, f64)>> = BTreeMap::new();
    for event in events {
        let Some(request) = event.event.request else {
            continue;
        };
        let point = (
            scale.x(event.at.wall_time().get()),
            lane_y(lanes[&event.process]),
        );
        paths.entry(request).or_default().push(point);
    }
    for points in paths.values().filter(|points| points.len() > 1) {
        page.push_str("<polyline fill=\"none\" stroke=\"#bbb\" points=\"");
        for (x, y) in points {
            push_fmt(page, format_args!("{x:.1},{y:.1} "));
        }
        page.push_str("\"/>\n");
    }
}

fn draw_event(page: &mut String, timed_event: &TimedEvent, lane: usize, scale: &Scale) {
    let event = &timed_event.event;
    let colour = COLOURS[event.component as usize];
    let outline = if event.code == ResultCode::Ok {
        "none"
    } else {
        "#d00"
    };
    let mut label = format!("{} {:?} {}", timed_event.at, event.kind, event.code);
    if let Some(service) = event.service {
        push_fmt(&mut label, format_args!(", service {service}"));
    }
    if let Some(flow) = event.flow {
        push_fmt(&mut label, format_args!(", flow {}", flow.0));
    }
    if let Some(request) = event.request {
        push_fmt(
            &mut label,
            format_args!(", request {}-{}", request.session, request.sequence),
        );
    }
    push_fmt(
        page,
        format_args!(
            "<circle cx=\"{:.1}\" cy=\"{}\" r=\"{DOT_RADIUS}\" fill=\"{colour}\" stroke=\"{outline}\">\
             <title>{label}</title></circle>\n",
            scale.x(timed_event.at.wall_time().get()),
            lane_y(lane)
        ),
    );
}

fn push_fmt(text: &mut String, arguments: std::fmt::Arguments<'_>) {
    text.write_fmt(arguments)
        .expect("writing to a String cannot fail");
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}
