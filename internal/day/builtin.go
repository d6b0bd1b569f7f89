package day

// BuiltInScript is the default scenario: each kind of fault of the external simulator (lbsim), alone and overlapping
// with others, within about forty seconds.
const BuiltInScript = `
length 42s
seed 1
speed 1
routers 3
cells 2
link 300k
load 0.4
notice 1.5s
silent-notice 4s
add 500ms
front-notice 1s
clients retries 2 backoff 100ms honour 0.7 patience 0.9
prefill count 4 slots 8 queue 40 memory 240k read 18k
decode count 6 slots 80 queue 30 memory 160k step 12ms per-sequence 150us

class rate-check share 0.7 worth 3 aim 1s deadline 4s new 300 answer 80 max-tokens 300 turns 2 texts 20 text-tokens 2k
class rule-explain share 0.2 worth 1 aim 1.5s deadline 6s token-aim 70ms new 400 answer 160 turns 1.5 texts 8 text-tokens 1k
class pen-booking share 0.1 worth 3 aim 2.5s aim-per-1000 120ms deadline 12s token-aim 80ms repeat unsafe new 2k answer 60 turns 1.2 text-share 0.1

at 2s    slow           on d1       for 8s   size 5
at 4s    crash          on p1       for 4s
at 5s    fast_errors    on d2       for 6s   size 0.8
at 7s    balancer_roll  on r1       for 500ms
at 8s    vanish         on d3       for 5s
at 10s   burst          for 3s      size 1.6
at 11s   report_late    for 8s      size 3
at 12s   origin_slow    for 5s      size 4
at 13s   class_fail     on d4,d5    for 6s   size 0.9 class rate-check how silence
at 15s   drain          on p2       for 4s
at 16s   heavy_tail     for 6s      size 10  extra 0.03 class rule-explain
at 18s   throttle       on d6       for 5s   size 0.7 class rule-explain
at 19s   pauses         on p3       for 5s   size 0.3
at 21s   give_up        for 4s      size 0.5 extra 0.5 how leave
at 22s   balancer_roll  on r2,r3    for 600ms
at 23s   give_up        for 3s      size 0.5 extra 0.4 how short
at 24s   ageing         on d1       for 6s   size 8
at 26s   preempt        on p4       for 3s   size 1.5
at 27s   handshake_slow on d2,d3    for 4s   size 0.2
at 30s   crash          on d4       for 3s
at 30s   unlist         on d5       for 3s
at 31s   class_fail     on d6,d2    for 5s   size 0.9 class rule-explain how error
at 33s   vanish         on p1       for 3s
at 34s   half_frame     on d3       for 4s   size 0.2
at 35s   wrong_id       on p2       for 3s   size 0.3
at 36s   two_answers    on d5       for 3s   size 0.5
at 37s   long_headers   on p3       for 3s   size 0.2
`
