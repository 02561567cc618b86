import {once} from 'node:events';
import type {Server} from 'node:http';
import {createServer} from 'node:http';
import type {AddressInfo} from 'node:net';
import {afterEach, beforeEach, describe, it} from 'node:test';
import {expect} from 'earl';
import {OperatorClient} from '../src/core/client/index.js';

describe('OperatorClient', () => {
  let server: Server;
  let client: OperatorClient;
  /** Paths of the requests that arrived, in order. */
  let paths: string[];

  beforeEach(async () => {
    paths = [];
    server = createServer((request, response) => {
      paths.push(request.url ?? '');
      response.end(JSON.stringify({revision: 1, resources: []}));
    }).listen(0, '127.0.0.1');
    await once(server, 'listening');
    const {port} = server.address() as AddressInfo;
    const origin = `http://127.0.0.1:${port}`;
    client = new OperatorClient({origin, operator: 'ops', key: 'secret'});
  });

  afterEach(() => {
    server.closeAllConnections();
    server.close();
  });

  for (const kind of ['group', 'group&kind=caller', 'a#b', 'a b%20+é']) {
    it(`lists the kind "${kind}" as it was given`, async () => {
      await client.list(kind);
      const {pathname, searchParams} = new URL(paths[0]!, client.origin);
      expect(pathname).toEqual('/v1/resources');
      expect([...searchParams]).toEqual([['kind', kind]]);
    });
  }

  for (const name of ['a/b', 'a?dryRun=true', 'a#b', 'a%2Fb', 'é ']) {
    it(`asks for the resource "${name}" and for no other`, async () => {
      await client.find('group', name).catch(() => undefined);
      const parts = paths[0]!.split('/').map(decodeURIComponent);
      expect(parts).toEqual(['', 'v1', 'resources', 'group', name]);
    });
  }
});
