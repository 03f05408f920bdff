/** Tells how many of the requests of a workspace are new, while some of its requests are refused. */

/** Mix of the requests that arrived at this process. */
export type RequestMix = {
  /** Records a request, whether or not it is admitted. */
  record: (workspace: string, isClientRetry: boolean) => void;
  /** Part of the recent requests of a workspace that are no retries of clients; 1 when nothing is known. */
  freshShare: (workspace: string) => number;
};

/** Weight of the newest request in a mean. Clients that retry at once send a hundred retries for each new request. */
const SMOOTHING = 0.005;
/** Workspaces that are tracked; the one without requests for the longest time is removed first. */
const WORKSPACES_MAX = 256;

type Mean = {freshShare: number; requests: number};

/** Creates a mix without requests. */
export const createRequestMix = (): RequestMix => {
  const means = new Map<string, Mean>();
  return {
    record(workspace, isClientRetry) {
      const {freshShare, requests} = means.get(workspace) ?? {freshShare: 1, requests: 0};
      const weight = Math.max(SMOOTHING, 1 / (requests + 1));
      means.delete(workspace);
      means.set(workspace, {freshShare: freshShare + (weight * ((isClientRetry ? 0 : 1) - freshShare)), requests: requests + 1});
      if (means.size > WORKSPACES_MAX) {
        const [oldest] = means.keys();
        means.delete(oldest!);
      }
    },
    freshShare: workspace => means.get(workspace)?.freshShare ?? 1,
  };
};
