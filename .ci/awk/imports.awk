# Prints imports that are out of order or not in their group: std, outside crates, ours. Modules of tests
# that are imported by name belong to ours.

function group(path) {
    if (path ~ /^(std|core|alloc)(::|;)/) return 1
    if (path ~ /^(coordination|crate|fakes|hibiscushoist|hibiscushoistd|platform|protocol|raft_sim|routed_upstream|self|state|super|support|transport|upstream_fixtures)(::|;)/) return 3
    return 2
}

FNR == 1 { last = 0; gap = 0 }

/^use / {
    now = group($2)
    if (last && now < last) print FILENAME ":" FNR ": import group out of order"
    if (last && now != last && !gap) print FILENAME ":" FNR ": no blank line between import groups"
    if (last && now == last && gap) print FILENAME ":" FNR ": import group broken by a blank line"
    last = now
    gap = 0
    next
}

/^$/ { gap = 1; next }

{ gap = 0; last = 0 }
