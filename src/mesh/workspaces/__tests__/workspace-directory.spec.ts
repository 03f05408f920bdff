/** Guards against requests that are taken for those of another workspace, and against keys that work after they were removed. */
import {Buffer} from 'node:buffer';
import test from 'ava';
import type {Workspace} from '../../entry/routing-configuration.js';
import {digestKey} from '../key-digest.js';
import {createWorkspaceDirectory, type Identity, type WorkspaceDirectory} from '../workspace-directory.js';

const workspace = (name: string, keys: string[], priority?: number): Workspace => ({
  name, keyDigests: keys.map(key => digestKey(key)), priority, ratePerS: undefined, burst: 0,
});

const ordinary = {};
const open = {isPublic: true};

const summaryOf = (identity: Identity): string => identity.kind === 'workspace' ? identity.workspace.name : identity.kind;

const directory = createWorkspaceDirectory([workspace('a', ['k-1', 'k-2', 'ключ']), workspace('b', ['k-3']), workspace('without-keys', [])]);

const cases: Array<{title: string; apiKey: string | undefined; route: {isPublic?: boolean}; expected: string}> = [
  {
    title: 'the first key of a workspace', apiKey: 'k-1', route: ordinary, expected: 'a',
  },
  {
    title: 'another key of a workspace', apiKey: 'k-2', route: ordinary, expected: 'a',
  },
  {
    title: 'the key of another workspace', apiKey: 'k-3', route: ordinary, expected: 'b',
  },
  {
    title: 'no key', apiKey: undefined, route: ordinary, expected: 'missing-key',
  },
  {
    title: 'an empty key', apiKey: '', route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'an unknown key', apiKey: 'k-4', route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'a key in other capitals', apiKey: 'K-1', route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'the beginning of a key', apiKey: 'k-', route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'two keys of one workspace', apiKey: 'k-1, k-2', route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'the same key twice', apiKey: 'k-1, k-1', route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'keys of two workspaces', apiKey: 'k-1, k-3', route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'the digest of a key', apiKey: digestKey('k-1'), route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'the name of a workspace', apiKey: 'a', route: ordinary, expected: 'unknown-key',
  },
  {
    title: 'a key in UTF-8, which Node reports as Latin-1', apiKey: Buffer.from('ключ').toString('latin1'), route: ordinary, expected: 'a',
  },
  {
    title: 'no key, on a public route', apiKey: undefined, route: open, expected: 'anonymous',
  },
  {
    title: 'an unknown key, on a public route', apiKey: 'k-4', route: open, expected: 'anonymous',
  },
  {
    title: 'a known key, on a public route', apiKey: 'k-1', route: open, expected: 'a',
  },
];

for (const {title, apiKey, route, expected} of cases) {
  test(`${title}: ${expected}`, t => {
    t.is(summaryOf(directory.identify(apiKey, route)), expected);
  });
}

const revocations: Array<{title: string; after: Workspace[] | undefined; expected: string}> = [
  {title: 'moved to another workspace', after: [workspace('a', []), workspace('b', ['k-1'])], expected: 'b'},
  {title: 'that was the last one of its workspace', after: [workspace('a', []), workspace('b', ['k-3'])], expected: 'unknown-key'},
  {title: 'of a removed workspace', after: [workspace('b', ['k-3'])], expected: 'unknown-key'},
  {title: 'after all workspaces were removed', after: [], expected: 'unknown-key'},
  {title: 'without workspaces in the configuration', after: undefined, expected: 'anonymous'},
];

for (const {title, after, expected} of revocations) {
  test(`a key ${title}: ${expected}`, t => {
    t.is(summaryOf(createWorkspaceDirectory([workspace('a', ['k-1']), workspace('b', ['k-3'])]).identify('k-1', ordinary)), 'a');
    t.is(summaryOf(createWorkspaceDirectory(after).identify('k-1', ordinary)), expected);
  });
}

const headers: Array<{title: string; stated: WorkspaceDirectory; workspace: Workspace | undefined; expected: unknown}> = [
  {
    title: 'without workspaces nothing is stated', stated: createWorkspaceDirectory(undefined), workspace: undefined, expected: {kind: 'unused'},
  },
  {
    title: 'with an empty table a request has no workspace', stated: createWorkspaceDirectory([]), workspace: undefined, expected: {kind: 'none'},
  },
  {
    title: 'a request without a key has no workspace', stated: directory, workspace: undefined, expected: {kind: 'none'},
  },
  {
    title: 'a request with a key has its workspace', stated: directory, workspace: workspace('a', []), expected: {kind: 'named', name: 'a'},
  },
];

for (const {title, stated, workspace: sender, expected} of headers) {
  test(title, t => {
    t.deepEqual(stated.headerOf(sender), expected as never);
  });
}
