//! The report of service-level burn.

use crate::output::{print_json, table, Format};
use crate::run::Context;
use crate::Error;
use daemon::{ServiceBurn, WindowBurn};
use plotters::prelude::*;
use std::fs;
use std::path::Path;
use types::SortedMap;

/// Alarm threshold of the 5 min and 1 h windows. At this burn rate the budget of three days lasts
/// five hours.
const FAST_BURN: f64 = 14.4;
/// Alarm threshold of the 6 h window. At this burn rate the budget of three days lasts half a day.
const SLOW_BURN: f64 = 6.0;
/// Width and height of a plot, in pixels.
const PLOT_SIZE: (u32, u32) = (760, 200);

pub(crate) async fn report(cx: &Context, html: Option<&std::path::PathBuf>) -> Result<(), Error> {
    let mut burns: Vec<ServiceBurn> = Vec::new();
    let mut answered = 0;
    let mut last = None;
    for client in cx.target.all() {
        match client.get::<Vec<ServiceBurn>>("/v1/burn").await {
            Ok(more) => {
                answered += 1;
                burns.extend(more);
            }
            Err(e) => last = Some(e),
        }
    }
    if let (0, Some(e)) = (answered, last) {
        return Err(e.into());
    }
    let merged = merge(burns);
    if let Some(path) = html {
        write_page(path, &merged)?;
    }
    if cx.format == Format::Json {
        print_json(&merged);
        return Ok(());
    }
    println!("from {answered} of {} entry hosts", cx.target.all().len());
    print!("{}", table(&COLUMNS, &rows(&merged)));
    Ok(())
}

const COLUMNS: [&str; 10] = [
    "SERVICE", "WINDOW", "REQUESTS", "SLOW", "NOT RUN", "UNKNOWN", "FAILED", "BURN", "LEFT",
    "ALARM",
];

/// Adds up the reports of all hosts by service and computes the burn rates of the sums.
fn merge(burns: Vec<ServiceBurn>) -> Vec<ServiceBurn> {
    let mut merged: SortedMap<String, ServiceBurn> = SortedMap::default();
    for burn in burns {
        match merged.get_mut(&burn.service) {
            None => {
                merged.insert(burn.service.clone(), burn);
            }
            Some(sum) => add(sum, &burn),
        }
    }
    for burn in merged.values_mut() {
        let allowed = 1.0 - burn.objective.target;
        burn.windows.iter_mut().for_each(|window| window.burn_rate = rate(window, allowed));
        burn.budget_left = 1.0 - burn.windows.last().map_or(0.0, |window| window.burn_rate);
    }
    merged.values().cloned().collect()
}

fn add(sum: &mut ServiceBurn, burn: &ServiceBurn) {
    for (window, more) in sum.windows.iter_mut().zip(&burn.windows) {
        window.requests += more.requests;
        window.slow += more.slow;
        window.not_run += more.not_run;
        window.unknown += more.unknown;
        window.failed += more.failed;
    }
    for (minute, more) in sum.last_hour.iter_mut().zip(&burn.last_hour) {
        *minute += more;
    }
}

fn rate(window: &WindowBurn, allowed: f64) -> f64 {
    let bad = window.slow + window.not_run + window.unknown + window.failed;
    if window.requests == 0 {
        0.0
    } else {
        bad as f64 / window.requests as f64 / allowed
    }
}

fn rows(burns: &[ServiceBurn]) -> Vec<Vec<String>> {
    let row = |burn: &ServiceBurn, window: &WindowBurn| {
        vec![
            burn.service.clone(),
            window.window.clone(),
            window.requests.to_string(),
            window.slow.to_string(),
            window.not_run.to_string(),
            window.unknown.to_string(),
            window.failed.to_string(),
            format!("{:.1}", window.burn_rate),
            format!("{:.0}%", burn.budget_left * 100.0),
            alarm(window).to_string(),
        ]
    };
    burns.iter().flat_map(|burn| burn.windows.iter().map(move |w| row(burn, w))).collect()
}

fn alarm(window: &WindowBurn) -> &'static str {
    match window.window.as_str() {
        "5m" | "1h" if window.burn_rate >= FAST_BURN => "FAST",
        "6h" if window.burn_rate >= SLOW_BURN => "SLOW",
        "3d" if window.burn_rate >= 1.0 => "SPENT",
        _ => "",
    }
}

fn write_page(path: &Path, burns: &[ServiceBurn]) -> Result<(), Error> {
    let mut page = String::from(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>Service-level burn</title>\
         <style>body{font-family:sans-serif;margin:2em;max-width:60em}td,th{padding:.2em .8em;\
         text-align:right}td:first-child,th:first-child{text-align:left}.alarm{color:#b00020}\
         </style><h1>Service-level burn</h1>",
    );
    for burn in burns {
        page.push_str(&section(burn));
    }
    fs::write(path, page).map_err(|e| Error::Io(path.display().to_string(), e))
}

fn section(burn: &ServiceBurn) -> String {
    let mut out = format!(
        "<h2>{}</h2><p>{}% of requests answered within {:?}; budget left: {:.0}%</p>\
         <table><tr><th>window<th>requests<th>slow<th>not run<th>unknown<th>failed<th>burn<th></tr>",
        burn.service,
        burn.objective.target * 100.0,
        burn.objective.answer_within,
        burn.budget_left * 100.0
    );
    for w in &burn.windows {
        out.push_str(&format!(
            "<tr><td>{}<td>{}<td>{}<td>{}<td>{}<td>{}<td>{:.1}<td class=alarm>{}</tr>",
            w.window,
            w.requests,
            w.slow,
            w.not_run,
            w.unknown,
            w.failed,
            w.burn_rate,
            alarm(w)
        ));
    }
    out.push_str("</table>");
    out.push_str(&plot(burn).unwrap_or_else(|e| format!("<p>no plot: {e}</p>")));
    out
}

/// Draws the bad requests of each of the last 60 minutes as an SVG.
fn plot(burn: &ServiceBurn) -> Result<String, Box<dyn std::error::Error>> {
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, PLOT_SIZE).into_drawing_area();
        area.fill(&WHITE)?;
        let most = burn.last_hour.iter().copied().max().unwrap_or(0).max(1);
        let mut chart = ChartBuilder::on(&area)
            .caption("bad requests by minute, last hour", ("sans-serif", 14))
            .margin(6)
            .x_label_area_size(40)
            .y_label_area_size(44)
            .build_cartesian_2d(-60i32..0i32, 0u64..most + 1)?;
        chart.configure_mesh().x_desc("minutes ago").y_labels(4).draw()?;
        let bars = burn.last_hour.iter().enumerate().map(|(i, bad)| {
            let x = i as i32 - 60;
            Rectangle::new([(x, 0), (x + 1, *bad)], RED.mix(0.7).filled())
        });
        chart.draw_series(bars)?;
        area.present()?;
    }
    Ok(svg)
}
