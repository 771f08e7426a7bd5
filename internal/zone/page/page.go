// Package page writes a zone report as an HTML page. It is separate from package report so that programs without the page
// don't link html/template. Names in a report may come from clients; the template escapes them.
package page

import (
	"fmt"
	"html/template"
	"io"

	"cranegrade/internal/zone"
	"cranegrade/internal/zone/report"
)

// style is the style sheet of the page.
const style = `body{font:14px sans-serif;margin:2em}` +
	`table{border-collapse:collapse;margin:1em 0}` +
	`td,th{padding:.2em .8em;border-bottom:1px solid #ccc;text-align:right}` +
	`tr.cross{background:#fff3d6}`

// localityRow is the table row of a locality in the pool $pool.
const localityRow = `<tr>` +
	`<td>{{$pool}}` +
	`<td>{{zone .Zone}}` +
	`<td>{{.Priority}}` +
	`<td>{{.Servers}}` +
	`<td>{{printf "%.1f" .Limit}}` +
	`<td>{{.InFlight}}` +
	`<td>{{if .Unhealthy}}sick{{end}}</tr>`

// budgetRow is the table row of a budget.
const budgetRow = `<tr>` +
	`<td>{{zone .From}}` +
	`<td>{{zone .To}}` +
	`<td>{{remaining .RequestsHour}}` +
	`<td>{{remaining .RequestsDay}}` +
	`<td>{{remaining .BytesHour}}` +
	`<td>{{remaining .BytesDay}}</tr>`

// accountRow is the table row of a row of the account. Traffic between zones is highlighted.
const accountRow = `<tr{{if ne .From .To}} class="cross"{{end}}>` +
	`<td>{{.Day}}` +
	`<td>{{.Pool}}` +
	`<td>{{zone .From}}` +
	`<td>{{zone .To}}` +
	`<td>{{.Class}}` +
	`<td>{{.Customer}}` +
	`<td>{{.Requests}}` +
	`<td>{{.Out}}` +
	`<td>{{.In}}</tr>`

// page is the template of the HTML page.
var page = template.Must(template.New("").Funcs(template.FuncMap{
	"zone":      zone.DisplayName,
	"remaining": report.FormatRemaining,
	"percent":   func(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) },
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>Zones of {{.Node}}</title>
<style>` + style + `</style>
<h1>Zones of {{.Node}}</h1>
<p>Home zone {{zone .Home}}; {{percent .CrossZoneShare}} of requests crossed zones. As of {{.At.UTC.Format "2006-01-02 15:04:05"}} UTC.</p>
{{if .Localities}}<h2>Places</h2><table><tr><th>pool<th>zone<th>priority<th>servers<th>limit<th>calls<th></tr>
{{range $pool, $localities := .Localities}}{{range $localities}}` + localityRow + `
{{end}}{{end}}</table>{{end}}
{{if .Budgets}}<h2>Left of the budgets</h2><table><tr><th>from<th>to<th>requests, hour<th>requests, day<th>bytes, hour<th>bytes, day</tr>
{{range .Budgets}}` + budgetRow + `
{{end}}</table>{{end}}
<h2>Account</h2><table><tr><th>day<th>pool<th>from<th>to<th>class<th>customer<th>requests<th>bytes out<th>bytes in</tr>
{{range .Rows}}` + accountRow + `
{{end}}</table></html>
`))

// Write writes a report as a self-contained HTML page.
func Write(w io.Writer, r report.Report) error { return page.Execute(w, r) }
