/** Renders the reference page of the declared objects from their schemas. */
import {DECLARED_KINDS, KIND_SCHEMAS, type JsonSchema} from './fields.js';

type Row = {path: string; type: string; presence: string; description: string};

const cell = (text: string): string => text.replaceAll('|', String.raw`\|`);

const numberText = (schema: JsonSchema): string => {
  const {type, minimum, maximum} = schema;
  return minimum === undefined ? String(type) : `${type}, ${minimum} to ${maximum}`;
};

const typeText = (schema: JsonSchema): string => {
  if (schema.const !== undefined) {
    return `\`${schema.const}\``;
  }

  if (schema.enum !== undefined) {
    return schema.enum.map(value => `\`${value}\``).join(', ');
  }

  switch (schema.type ?? '') {
    case 'array': {
      return `list${schema.items?.type === 'object' ? '' : ` of ${typeText(schema.items ?? {})}`}, ${schema.minItems ?? 0} or more`;
    }

    case 'object': {
      return schema.properties === undefined ? 'map of strings' : 'object';
    }

    case 'string': {
      return schema.maxLength === undefined ? 'string' : `string, at most ${schema.maxLength} characters`;
    }

    default: {
      return numberText(schema);
    }
  }
};

const presenceText = (schema: JsonSchema, required: boolean): string => {
  if (schema.default !== undefined) {
    return `default \`${JSON.stringify(schema.default)}\``;
  }

  return required ? 'required' : 'optional';
};

const rowsOf = (schema: JsonSchema, prefix: string): Row[] => Object.entries(schema.properties ?? {}).flatMap(([name, field]) => {
  const path = prefix === '' ? name : `${prefix}.${name}`;
  const row = {
    path, type: typeText(field), presence: presenceText(field, schema.required?.includes(name) ?? false), description: field.description ?? '',
  };
  // A selection is the same in every rule and has its own section.
  if (name === 'select') {
    return [{...row, type: '[selection](#selection)'}];
  }

  const inner = field.type === 'array' && field.items?.type === 'object' ? rowsOf(field.items, `${path}[]`) : rowsOf(field, path);
  return field.oneOf === undefined ? [row, ...inner] : [];
});

const tableOf = (rows: readonly Row[]): string => [
  '| field | type | presence | meaning |',
  '| --- | --- | --- | --- |',
  ...rows.map(({path, type, presence, description}) => `| \`${path}\` | ${cell(type)} | ${cell(presence)} | ${cell(description)} |`),
].join('\n');

const variantsOf = (schema: JsonSchema): string[] => (schema.properties?.spec?.oneOf ?? []).map(option =>
  `### ${String(option.properties?.type?.const)}\n\n${tableOf(rowsOf(option, 'spec'))}`);

const kindOf = (kind: string): string => {
  const schema = KIND_SCHEMAS[kind]!;
  return [`## ${kind}`, schema.description ?? '', tableOf(rowsOf(schema, '')), ...variantsOf(schema)].join('\n\n');
};

const selectionSection = (): string => {
  const [variant] = KIND_SCHEMAS.Rule?.properties?.spec?.oneOf?.filter(option => option.properties?.select !== undefined) ?? [];
  const selection = variant?.properties?.select ?? {};
  return [
    '## Selection',
    'A rule applies where all of its selectors match. A selector matches when every listed label has the listed value.',
    tableOf(rowsOf(selection, 'select')),
  ].join('\n\n');
};

/** Renders the page as Markdown. */
export const renderReference = (): string => [
  '# Reference of the declared objects',
  'This page is generated from the schemas in `src/objects/schema.ts` by `npm run docs`; do not edit it.',
  `Operators declare objects of the kinds ${DECLARED_KINDS.map(kind => `\`${kind}\``).join(', ')}.`,
  'Names are unique within a kind: 1 to 63 lower-case letters, digits and hyphens, not at the ends. Unknown fields are errors.',
  ...Object.keys(KIND_SCHEMAS).map(kind => kindOf(kind)),
  selectionSection(),
].join('\n\n') + '\n';
