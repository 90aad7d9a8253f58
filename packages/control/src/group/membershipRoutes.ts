/** HTTP routes of the membership manager. */
import { BODY_LIMITS, readJson, sendJson, type HttpExchange, type Route } from '@spoolgate/core'
import type { JoinRequest } from './groupPlan.js'
import { LEADER_PATH, type LeaderAnnouncement } from './leaderAnnouncer.js'
import { JOIN_PATH, type MembershipManager } from './membershipManager.js'

/** Creates the routes that receive join requests and leader announcements. */
export function createMembershipRoutes(manager: MembershipManager): Route[] {
  const serveJoinRequest = async ({ request, response }: HttpExchange) => {
    manager.recordJoinRequest((await readJson(request, BODY_LIMITS.message)) as JoinRequest)
    sendJson(response, 200, {})
  }
  const serveAnnouncement = async ({ request, response }: HttpExchange) => {
    const announcement = (await readJson(request, BODY_LIMITS.message)) as LeaderAnnouncement
    manager.recordAnnouncement(announcement.leaderUrl)
    sendJson(response, 200, {})
  }
  return [
    { method: 'POST', path: JOIN_PATH, handler: serveJoinRequest },
    { method: 'POST', path: LEADER_PATH, handler: serveAnnouncement },
  ]
}
