# Prints variants of enums that are not in alphabetical order.
#
# An enum whose variants have numbers is in the order of its numbers.

FNR == 1 { inside = 0 }

/^(pub(\([a-z]+\))? )?enum [A-Za-z]+.*\{$/ { inside = 1; last = ""; next }

inside && /^}/ { inside = 0 }

inside && /^    [A-Z][A-Za-z0-9]*/ {
    name = $1
    sub(/[^A-Za-z0-9].*/, "", name)
    if ($0 ~ / = [0-9]+,$/) next
    if (last != "" && name < last) print FILENAME ":" FNR ": variant " name " stands after " last
    last = name
}
