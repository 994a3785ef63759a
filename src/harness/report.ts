/** Writes a page with plots from the benchmark's JSON: `npm run report -- FILE.json [PAGE.html]`. */
import { mkdirSync, readFileSync, writeFileSync } from "node:fs";
import path from "node:path";
import * as echarts from "echarts";
import type { ScenarioFigures } from "./scenarioRun.js";

const widthPx = 900;
const heightPx = 320;

interface Row {
    scenario: string;
    policy: string;
    figures: ScenarioFigures;
}

interface Measure {
    title: string;
    valueOf: (figures: ScenarioFigures) => number;
}

const measures: Measure[] = [
    { title: "Reads answered rightly and in time, % of those asked", valueOf: (of) => (of.byKind["read"]?.rightInTimeShare ?? 0) * 100 },
    { title: "Orders answered rightly and in time, % of those asked", valueOf: (of) => (of.byKind["order"]?.rightInTimeShare ?? 0) * 100 },
    { title: "Reads, p99 in ms from the intended time", valueOf: (of) => of.byKind["read"]?.p99Ms ?? 0 },
    { title: "Imbalance: busiest server over the mean", valueOf: (of) => of.imbalance },
    { title: "Shards that changed their server", valueOf: (of) => of.moves },
    { title: "Longest time without service, ms", valueOf: (of) => of.longestUnavailableMs },
];

function plot(rows: readonly Row[], measure: Measure): string {
    const scenarios = [...new Set(rows.map((row) => row.scenario))];
    const policies = [...new Set(rows.map((row) => row.policy))];
    const chart = echarts.init(undefined, undefined, { renderer: "svg", ssr: true, width: widthPx, height: heightPx });
    chart.setOption({
        animation: false,
        title: { text: measure.title, textStyle: { fontSize: 14 } },
        legend: { right: 0 },
        xAxis: { type: "category", data: scenarios, axisLabel: { rotate: 30 } },
        yAxis: { type: "value" },
        series: policies.map((policy) => ({
            name: policy,
            type: "bar",
            data: scenarios.map((scenario) => {
                const row = rows.find((one) => one.scenario === scenario && one.policy === policy);
                return row === undefined ? undefined : measure.valueOf(row.figures);
            }),
        })),
    });
    const svg = chart.renderToSVGString();
    chart.dispose();
    return svg;
}

const [source = "", page = "report/index.html"] = process.argv.slice(2);
const rows = JSON.parse(readFileSync(source, "utf8")) as Row[];
mkdirSync(path.dirname(page), { recursive: true });
const plots = measures.map((measure) => plot(rows, measure)).join("\n");
writeFileSync(page, `<!doctype html><meta charset="utf-8"><title>hornbeamswitch benchmark</title>\n${plots}\n`);
process.stdout.write(`${page}\n`);
