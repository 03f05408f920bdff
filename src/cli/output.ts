/** Output of commands as JSON or as tables. */

/** Formats that `--output` takes. */
export const OUTPUT_FORMATS: readonly string[] = ['table', 'json'];

/** Output of a command: data for JSON and text for people. Nothing is printed when the data is undefined. */
export type Output = {data: unknown; text: string};

/** Formats rows as a table with aligned columns. */
export const formatTable = (titles: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
  const lines = [titles, ...rows];
  const widths = titles.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
  return lines
    .map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
    .join('\n');
};

/** Formats labels as `key=value`, separated by commas. */
export const formatLabels = (labels: Readonly<Record<string, string>>): string =>
  Object.entries(labels).map(([key, value]) => `${key}=${value}`).join(',');

/** Formats a time as an ISO 8601 string. */
export const formatTime = (milliseconds: number): string => new Date(milliseconds).toISOString();
