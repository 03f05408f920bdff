/** Identifies the workspace of a request by its API key. */
import type {WorkspaceHeader} from '../entry/http-dialect.js';
import type {Route, Workspace} from '../entry/routing-configuration.js';
import {digestHeaderValue} from './key-digest.js';

/** Who sends a request. `anonymous` requests use a public route, as calls of backend servers do. */
export type Identity =
  | {kind: 'workspace'; workspace: Workspace}
  | {kind: 'anonymous'}
  | {kind: 'missing-key' | 'unknown-key'};

/** Workspaces of one configuration. */
export type WorkspaceDirectory = {
  /** Identifies the sender of a request by the value of its key header; undefined when it has none. */
  identify: (apiKey: string | undefined, route: Pick<Route, 'isPublic'>) => Identity;
  /** Workspace that a forwarded request states. */
  headerOf: (workspace: Workspace | undefined) => WorkspaceHeader;
};

const ANONYMOUS: Identity = {kind: 'anonymous'};
const MISSING_KEY: Identity = {kind: 'missing-key'};
const UNKNOWN_KEY: Identity = {kind: 'unknown-key'};

const UNUSED: WorkspaceHeader = {kind: 'unused'};
const NONE: WorkspaceHeader = {kind: 'none'};

const withoutWorkspaces: WorkspaceDirectory = {
  identify: () => ANONYMOUS,
  headerOf: () => UNUSED,
};

/** Creates the directory of a configuration; undefined when the configuration has no workspaces, so that requests need no key. */
export const createWorkspaceDirectory = (workspaces: readonly Workspace[] | undefined): WorkspaceDirectory => {
  if (workspaces === undefined) {
    return withoutWorkspaces;
  }

  // The digest decides which entry is compared, so the time of a look-up does not show how much of a key is right.
  const byDigest = new Map(workspaces.flatMap(workspace => workspace.keyDigests.map(digest => [digest, workspace] as const)));
  return {
    identify(apiKey, route) {
      const workspace = apiKey === undefined ? undefined : byDigest.get(digestHeaderValue(apiKey));
      if (workspace !== undefined) {
        return {kind: 'workspace', workspace};
      }

      if (route.isPublic === true) {
        return ANONYMOUS;
      }

      return apiKey === undefined ? MISSING_KEY : UNKNOWN_KEY;
    },
    headerOf: workspace => workspace === undefined ? NONE : {kind: 'named', name: workspace.name},
  };
};
