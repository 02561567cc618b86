import type {VmList} from '@sapphireglade/protocol';
import {vmListSchema} from '@sapphireglade/protocol';
import {z} from 'zod';
import type {Route} from '../http/index.js';
import {FaultInjectingHttpService, createPostRoute} from '../http/index.js';
import type {VmListSettings} from './settings.js';

/** Schema of the body of `PUT /tuning`. */
const tuningSchema = z.strictObject({lagMs: z.int().min(0)});

/**
 * Stand-in for the platform's list of VMs, which lags behind.
 *
 * The control port also serves `POST /vms`, which replaces the list after the
 * lag, and `PUT /tuning`, which sets the lag.
 */
export class VmListService {
  private readonly service: FaultInjectingHttpService;
  private readonly timers = new Set<NodeJS.Timeout>();
  private shown: VmList;
  private lagMs: number;

  /** @param settings - Addresses, lag and initial list. */
  constructor(settings: VmListSettings) {
    this.shown = {vms: settings.vms};
    this.lagMs = settings.lagMs;
    this.service = new FaultInjectingHttpService({
      ...settings,
      routes: [{method: 'GET', path: '/vms', handle: () => this.shown}],
      controlRoutes: this.createControlRoutes(),
    });
  }

  /** Opens the ports. */
  start(): Promise<void> {
    return this.service.start();
  }

  /** Closes the ports. */
  async stop(): Promise<void> {
    for (const timer of this.timers) clearTimeout(timer);
    await this.service.stop();
  }

  private createControlRoutes(): Route[] {
    return [
      createPostRoute('/vms', vmListSchema, list => {
        this.publishAfterLag(list);
        return {};
      }),
      {
        ...createPostRoute('/tuning', tuningSchema, ({lagMs}) => {
          this.lagMs = lagMs;
          return {};
        }),
        method: 'PUT',
      },
    ];
  }

  private publishAfterLag(list: VmList): void {
    if (this.lagMs === 0) {
      this.shown = list;
      return;
    }
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      this.shown = list;
    }, this.lagMs);
    this.timers.add(timer);
  }
}
