/** Ranks requests by the priority of their workspace first, and by that of their route among workspaces of the same priority. */
import type {Route, Workspace} from '../entry/routing-configuration.js';

/** Priorities of the requests under one configuration; lower numbers are more urgent. Where all workspaces have the same priority, they are those of the routes. */
export type RequestPriorities = {
  /** Priority of a request. One without a workspace, or whose workspace has no priority, ranks with the least urgent workspaces. */
  of: (workspace: Workspace | undefined, routePriority: number) => number;
  /** Priorities that requests of routes with these priorities may have. */
  all: (routePriorities: readonly number[]) => number[];
};

/** Creates the priorities of a configuration. */
export const createRequestPriorities = (routes: ReadonlyArray<Pick<Route, 'priority'>>, workspaces: readonly Workspace[] = []): RequestPriorities => {
  const ranked = [...new Set(workspaces.map(({priority}) => priority))].filter(priority => priority !== undefined).sort((a, b) => a - b);
  const isSomeUnranked = workspaces.some(({priority}) => priority === undefined);
  const levels = Math.max(1, ranked.length + (isSomeUnranked ? 1 : 0));
  const levelByPriority = new Map(ranked.map((priority, level) => [priority, level]));
  const levelSize = Math.floor(Math.max(0, ...routes.map(({priority}) => priority))) + 1;

  const levelOf = (workspace: Workspace | undefined): number => workspace?.priority === undefined ? levels - 1 : levelByPriority.get(workspace.priority) ?? levels - 1;

  return {
    of: (workspace, routePriority) => (levelOf(workspace) * levelSize) + routePriority,
    all: routePriorities => Array.from({length: levels}, (_, level) => routePriorities.map(priority => (level * levelSize) + priority)).flat(),
  };
};
