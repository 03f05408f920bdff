/** Admin listener for operators: status, events, explanations of rejections, drain, metrics and health. */
import type {IncomingMessage, ServerResponse} from 'node:http';
import type {EventLog} from './event-log.js';
import {writeJson} from './http-server.js';
import type {Metrics} from './metrics.js';

/** Options of the admin listener's request handler. */
export type AdminOptions = {
  status: () => unknown;
  /** Whether the process can serve calls. */
  ready: () => boolean;
  /** Starts to drain the process. */
  drain: () => void;
  metrics: Metrics;
  eventLog: EventLog;
};

const METRICS_CONTENT_TYPE = 'text/plain; version=0.0.4; charset=utf-8';

/** Creates the request handler of the admin listener. */
export const createAdminHandler = (options: AdminOptions) => {
  const writeExplanation = (response: ServerResponse, id: string) => {
    const explanation = options.eventLog.findExplanation(id);
    if (explanation === undefined) {
      writeJson(response, 404, {error: 'not-found', message: `no rejection ${id} is remembered here; ask the host that its first part names, soon after the rejection`});
      return;
    }

    writeJson(response, 200, explanation);
  };

  const handleGet = async (response: ServerResponse, url: URL): Promise<void> => {
    const {pathname} = url;
    if (pathname.startsWith('/explain/')) {
      writeExplanation(response, decodeURIComponent(pathname.slice('/explain/'.length)));
      return;
    }

    switch (pathname) {
      case '/healthz': {
        writeJson(response, 200, {healthy: true});
        return;
      }

      case '/readyz': {
        const ready = options.ready();
        writeJson(response, ready ? 200 : 503, {ready});
        return;
      }

      case '/status': {
        writeJson(response, 200, options.status());
        return;
      }

      case '/events': {
        writeJson(response, 200, {events: options.eventLog.eventsAfter(Number(url.searchParams.get('after') ?? 0))});
        return;
      }

      case '/metrics': {
        response.setHeader('content-type', METRICS_CONTENT_TYPE);
        response.end(await options.metrics.render());
        return;
      }

      default: {
        writeJson(response, 404, {error: 'not-found', message: 'use /status, /events, /explain/<id>, /metrics, /healthz, /readyz or POST /drain'});
      }
    }
  };

  return async (request: IncomingMessage, response: ServerResponse): Promise<void> => {
    const url = new URL(request.url ?? '/', 'http://admin');
    if (request.method === 'POST' && url.pathname === '/drain') {
      options.drain();
      writeJson(response, 202, {draining: true});
      return;
    }

    if (request.method !== 'GET') {
      writeJson(response, 405, {error: 'method-not-allowed', message: 'use GET, or POST /drain'});
      return;
    }

    return handleGet(response, url);
  };
};
