/** Output of commands as JSON or as tables. */

/** Formats that `--output` takes. */
export const OUTPUT_FORMATS: readonly string[] = ['table', 'json'];

/** What a command prints: data for programs and text for people; nothing when the data is undefined. */
export type Output = {data: unknown; text: string};

/** Aligns rows under column titles. */
export const formatTable = (titles: readonly string[], rows: ReadonlyArray<readonly string[]>): string => {
  const lines = [titles, ...rows];
  const widths = titles.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)));
  return lines
    .map(line => line.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd())
    .join('\n');
};

/** Writes labels as `key=value`. */
export const formatLabels = (labels: Readonly<Record<string, string>>): string =>
  Object.entries(labels).map(([key, value]) => `${key}=${value}`).join(',');

/** Writes a time for people. */
export const formatTime = (milliseconds: number): string => new Date(milliseconds).toISOString();
