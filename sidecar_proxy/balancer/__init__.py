"""Load-balancing decisions: endpoint selection, retries and load shedding. No I/O, no clock, no threads.

The code refers to four service rules by number:

1. Each request gets exactly one final response, by its deadline.
2. A request that may have run is sent again only as its class permits: an idempotent one anywhere, a
   deduplicated one within its group and deduplication window, an at-most-once one never. It is rejected only
   if the client can safely send it again.
3. A draining or removed upstream gets no request from the moment that this is known, and the endpoint list is
   polled as often as the settings demand.
4. An upstream that is warming up gets no more work than its reduced capacity allows.
"""
