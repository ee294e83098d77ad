//! Tests of the tables of latency measurements.

use expect_test::expect;
use testbed::measure;

fn cell(case: measure::LatencyCase, round: usize, latencies_us: &[u64]) -> measure::CellFigures {
    let load = measure::LatencyLoad {
        concurrency: 8,
        work_ms: 5,
    };
    let mut cell = measure::CellFigures::new(case, load, round).unwrap();
    for latency_us in latencies_us {
        cell.add(*latency_us);
    }
    cell
}

#[test]
fn each_cell_is_compared_with_the_direct_call_of_its_round() {
    let mut figures = measure::LatencyFigures::default();
    figures.push(cell(
        measure::LatencyCase::LookupDirect,
        1,
        &[100, 110, 120],
    ));
    figures.push(cell(
        measure::LatencyCase::LookupThroughDaemon,
        1,
        &[180, 200, 500],
    ));
    let mut slow = cell(measure::LatencyCase::LookupThroughDaemon, 2, &[150]);
    slow.failed_requests = 2;
    figures.push(slow);
    figures.push(cell(
        measure::LatencyCase::LookupDirect,
        2,
        &[190, 200, 210],
    ));
    assert_eq!(figures.failed_requests(), 2);
    expect![[r"
        case,work_ms,concurrency,round,answered_requests,failed_requests,p50_us,p99_us,added_p50_us,added_p99_us
        lookup-direct,5,8,1,3,0,110,120,0,0
        lookup-daemon,5,8,1,3,0,200,500,90,380
        lookup-daemon,5,8,2,1,2,150,150,-50,-60
        lookup-direct,5,8,2,3,0,200,210,0,0
    "]]
    .assert_eq(&figures.to_csv());
}

#[test]
fn text_table_pools_the_rounds_and_shows_their_spread() {
    let mut figures = measure::LatencyFigures::default();
    for (round, added_us) in [(1, 50), (2, 300), (3, 70)] {
        figures.push(cell(measure::LatencyCase::LookupDirect, round, &[100]));
        let case = measure::LatencyCase::LookupThroughDaemon;
        figures.push(cell(case, round, &[100 + added_us]));
    }
    let text = figures.to_string();
    let words: Vec<&str> = text.lines().last().unwrap().split_whitespace().collect();
    expect!["lookup-daemon 5 8 170 400 70 300 70 (50..300) 70 (50..300) 0"]
        .assert_eq(&words.join(" "));
}
