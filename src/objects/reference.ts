/** Renders the reference page of the declared objects from their schemas. */
import {DECLARED_KINDS, KIND_SCHEMAS, type JsonSchema} from './json-schema.js';

type Row = {path: string; type: string; presence: string; description: string};

const escapeTableCell = (text: string): string => text.replaceAll('|', String.raw`\|`);

const formatNumberType = (schema: JsonSchema): string => {
  const {type, minimum, maximum} = schema;
  return minimum === undefined ? String(type) : `${type}, ${minimum} to ${maximum}`;
};

const formatType = (schema: JsonSchema): string => {
  if (schema.const !== undefined) {
    return `\`${schema.const}\``;
  }

  if (schema.enum !== undefined) {
    return schema.enum.map(value => `\`${value}\``).join(', ');
  }

  switch (schema.type ?? '') {
    case 'array': {
      return `list${schema.items?.type === 'object' ? '' : ` of ${formatType(schema.items ?? {})}`}, ${schema.minItems ?? 0} or more`;
    }

    case 'object': {
      return schema.properties === undefined ? 'map of strings' : 'object';
    }

    case 'string': {
      return schema.maxLength === undefined ? 'string' : `string, at most ${schema.maxLength} characters`;
    }

    default: {
      return formatNumberType(schema);
    }
  }
};

const formatPresence = (schema: JsonSchema, required: boolean): string => {
  if (schema.default !== undefined) {
    return `default \`${JSON.stringify(schema.default)}\``;
  }

  return required ? 'required' : 'optional';
};

const listFieldRows = (schema: JsonSchema, prefix: string): Row[] => Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
  const path = prefix === '' ? name : `${prefix}.${name}`;
  const row = {
    path, type: formatType(field), presence: formatPresence(field, schema.required?.includes(name) ?? false), description: field.description ?? '',
  };
  // A selection is the same in every rule and has its own section.
  if (name === 'select') {
    return [{...row, type: '[selection](#selection)'}];
  }

  const nestedRows = field.type === 'array' && field.items?.type === 'object' ? listFieldRows(field.items, `${path}[]`) : listFieldRows(field, path);
  return field.oneOf === undefined ? [row, ...nestedRows] : [];
});

const renderTable = (rows: readonly Row[]): string => [
  '| field | type | presence | meaning |',
  '| --- | --- | --- | --- |',
  ...rows.map(({path, type, presence, description}) => `| \`${path}\` | ${escapeTableCell(type)} | ${escapeTableCell(presence)} | ${escapeTableCell(description)} |`),
].join('\n');

const renderVariants = (schema: JsonSchema): string[] => (schema.properties?.spec?.oneOf ?? []).map(variant =>
  `### ${String(variant.properties?.type?.const)}\n\n${renderTable(listFieldRows(variant, 'spec'))}`);

const renderKind = (kind: string): string => {
  const schema = KIND_SCHEMAS[kind]!;
  return [`## ${kind}`, schema.description ?? '', renderTable(listFieldRows(schema, '')), ...renderVariants(schema)].join('\n\n');
};

const renderSelection = (): string => {
  const [variant] = KIND_SCHEMAS.Rule?.properties?.spec?.oneOf?.filter(candidate => candidate.properties?.select !== undefined) ?? [];
  const selection = variant?.properties?.select ?? {};
  return [
    '## Selection',
    'A rule applies where all of its selectors match. A selector matches when every listed label has the listed value.',
    renderTable(listFieldRows(selection, 'select')),
  ].join('\n\n');
};

/** Renders the reference page as Markdown. */
export const renderReference = (): string => [
  '# Reference of the declared objects',
  'This page is generated from the schemas in `src/objects/schema.ts` by `npm run docs`; do not edit it.',
  `Operators declare objects of the kinds ${DECLARED_KINDS.map(kind => `\`${kind}\``).join(', ')}.`,
  'Names are unique within a kind: 1 to 63 lower-case letters, digits and hyphens, not at the ends. Unknown fields are errors.',
  ...Object.keys(KIND_SCHEMAS).map(kind => renderKind(kind)),
  renderSelection(),
].join('\n\n') + '\n';
